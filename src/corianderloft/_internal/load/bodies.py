"""Builds the requests of a load run and their expected completions."""

import dataclasses
import random
import typing

import orjson

from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload
from corianderloft._internal.standin.engine import tokens
from corianderloft._internal.utils import prefixes

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class PreparedRequest:
    """One request that is ready to be sent."""

    method: str
    path: str
    headers: Headers
    body: bytes
    messages: tuple[dict[str, str], ...] = ()


def request_id(arrival: schedule.Arrival, run_id: str) -> str:
    """Return the ID of a request, the same for all its attempts."""
    return f'{run_id}-{arrival.load_class.name}-{arrival.number}'


def prepare_request(arrival: schedule.Arrival, run_id: str) -> PreparedRequest:
    """Return the request to send for an arrival."""
    load_class = arrival.load_class
    identity = request_id(arrival, run_id)
    headers = [
        (b'x-service', load_class.service.encode()),
        (b'x-class', (load_class.class_name or load_class.name).encode()),
        (b'x-request-id', identity.encode()),
        (b'content-type', b'application/json'),
    ]
    if load_class.key:
        credentials = f'Bearer {load_class.key}'.encode()
        headers.append((b'authorization', credentials))
    service = f'/v1/services/{load_class.service}'
    match load_class.call:
        case workload.CallKind.CHAT:
            return _prepare_chat(arrival, identity, headers)
        case workload.CallKind.BOOKING:
            headers.append((b'idempotency-key', identity.encode()))
            body = orjson.dumps({'booking': identity})
            return PreparedRequest(
                'POST', f'{service}/bookings', headers, body
            )
        case workload.CallKind.STOCK:
            path = f'{service}/stock/{identity}'
            return PreparedRequest('GET', path, headers, b'')
    typing.assert_never(load_class.call)


def resume_request(
    prepared: PreparedRequest, last_token: int, model: str
) -> PreparedRequest:
    """Return a chat request for the tokens after the last received one."""
    if not last_token or not model:
        return prepared
    headers = [
        (b'last-event-id', b'%d' % last_token),
        (b'x-model-version', model.encode()),
    ]
    return dataclasses.replace(prepared, headers=prepared.headers + headers)


def reattach_request(
    prepared: PreparedRequest, identity: str, last_token: int
) -> PreparedRequest:
    """Return a request for the rest of a stream that is still running."""
    headers = [*prepared.headers, (b'last-event-id', b'%d' % last_token)]
    path = f'/v1/requests/{identity}/stream'
    return PreparedRequest('GET', path, headers, b'', prepared.messages)


def _prepare_chat(
    arrival: schedule.Arrival, identity: str, headers: Headers
) -> PreparedRequest:
    load_class = arrival.load_class
    shared = _filler_text(load_class.name, load_class.shared_prompt_tokens)
    messages = (
        {'role': 'system', 'content': shared},
        {
            'role': 'user',
            'content': f'{identity} [tokens:{arrival.answer_tokens}] '
            + _filler_text(identity, arrival.prompt_tokens),
        },
    )
    body = {
        'model': load_class.model,
        'messages': messages,
        'max_tokens': load_class.answer.most,
        'seed': arrival.number,
        'stream': load_class.stream,
    }
    return PreparedRequest(
        'POST', '/v1/chat/completions', headers, orjson.dumps(body), messages
    )


def _filler_text(seed: str, count: int) -> str:
    """Return random text of about ``count`` tokens."""
    rng = random.Random(seed)
    size = count * prefixes.BYTES_PER_TOKEN
    return rng.randbytes(size // 2).hex()


def expected_completion(
    arrival: schedule.Arrival, prepared: PreparedRequest, model: str
) -> tokens.Completion:
    """Return the completion that ``model`` generates for a chat request."""
    return tokens.completion_for(
        model,
        prepared.messages,
        arrival.number,
        arrival.load_class.answer.most,
        mean_tokens=1,
    )
