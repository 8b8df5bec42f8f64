"""Requests of a load run, and the answers that they must get."""

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
class Prepared:
    """One request, ready to be sent."""

    method: str
    path: str
    headers: Headers
    body: bytes
    messages: tuple[dict[str, str], ...] = ()


def request_id(arrival: schedule.Arrival, run_id: str) -> str:
    """Return the identity of a request, the same for a repeat of the run."""
    return f'{run_id}-{arrival.load_class.name}-{arrival.number}'


def prepare(arrival: schedule.Arrival, run_id: str) -> Prepared:
    """Return what is sent for an arrival."""
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
            return _chat(arrival, identity, headers)
        case workload.CallKind.BOOKING:
            headers.append((b'idempotency-key', identity.encode()))
            body = orjson.dumps({'booking': identity})
            return Prepared('POST', f'{service}/bookings', headers, body)
        case workload.CallKind.STOCK:
            path = f'{service}/stock/{identity}'
            return Prepared('GET', path, headers, b'')
    typing.assert_never(load_class.call)


def go_on(prepared: Prepared, tokens_received: int, model: str) -> Prepared:
    """Return a chat request for the tokens that are still missing."""
    if not tokens_received or not model:
        return prepared
    headers = [
        (b'last-event-id', b'%d' % tokens_received),
        (b'x-model-version', model.encode()),
    ]
    return dataclasses.replace(prepared, headers=prepared.headers + headers)


def rejoin(prepared: Prepared, identity: str, received: int) -> Prepared:
    """Return the request for the rest of an answer that still runs."""
    headers = [*prepared.headers, (b'last-event-id', b'%d' % received)]
    path = f'/v1/requests/{identity}/stream'
    return Prepared('GET', path, headers, b'', prepared.messages)


def _chat(
    arrival: schedule.Arrival, identity: str, headers: Headers
) -> Prepared:
    load_class = arrival.load_class
    shared = _words(load_class.name, load_class.shared_prompt_tokens)
    messages = (
        {'role': 'system', 'content': shared},
        {
            'role': 'user',
            'content': f'{identity} [tokens:{arrival.answer_tokens}] '
            + _words(identity, arrival.prompt_tokens),
        },
    )
    body = {
        'model': load_class.model,
        'messages': messages,
        'max_tokens': load_class.answer.most,
        'seed': arrival.number,
        'stream': load_class.stream,
    }
    return Prepared(
        'POST', '/v1/chat/completions', headers, orjson.dumps(body), messages
    )


def _words(seed: str, count: int) -> str:
    """Return text of about ``count`` tokens."""
    rng = random.Random(seed)
    size = count * prefixes.BYTES_PER_TOKEN
    return rng.randbytes(size // 2).hex()


def expected_answer(
    arrival: schedule.Arrival, prepared: Prepared, model: str
) -> tokens.Answer:
    """Return the answer that ``model`` gives to a chat request."""
    return tokens.answer_for(
        model,
        prepared.messages,
        arrival.number,
        arrival.load_class.answer.most,
        mean_tokens=1,
    )
