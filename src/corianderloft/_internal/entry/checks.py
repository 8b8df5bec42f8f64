"""Checks of a caller's request, before any decision on it."""

import dataclasses
import re
import typing
import uuid

import orjson
import pydantic
import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.network import exchange
from corianderloft._internal.settings import callers
from corianderloft._internal.utils import prefixes

_KEY = re.compile(r'[\x21-\x7e]{1,128}')
_Reason = reasons.RefusalReason

_HOP_BY_HOP = frozenset(
    {
        b'authorization',
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'x-class',
        b'x-request-id',
        b'x-service',
    }
)


class _ChatMessage(pydantic.BaseModel):
    """One message of a chat; what the host does not read passes through."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: str


class _ChatBody(pydantic.BaseModel):
    """What the host reads of a chat completion."""

    model_config = pydantic.ConfigDict(extra='allow')

    messages: list[_ChatMessage] = pydantic.Field(min_length=1)
    stream: pydantic.StrictBool = False
    max_tokens: int | None = pydantic.Field(None, ge=1)
    seed: int | None = None
    n: int = pydantic.Field(1, ge=1, le=1)


async def read_body(
    http: exchange.Exchange, cfg: callers.CallerSettings
) -> bytes | requests.Refused | exchange.CallerLeft:
    """Read the body within the bounds of the settings."""
    body = await http.body(cfg.max_body_bytes, cfg.read_time)
    if isinstance(body, exchange.BodyTooLarge):
        return refusals.not_run(
            _Reason.TOO_LARGE, f'the body is longer than {body.limit} bytes'
        )
    if isinstance(body, exchange.BodyTooSlow):
        return refusals.not_run(
            _Reason.TOO_SLOW,
            f'the body did not arrive within {body.seconds:g} s',
        )
    return body


def chat_call(
    http: exchange.Exchange, origin: calls.Origin, raw: bytes
) -> calls.ChatCall | requests.Refused:
    """Check a chat completion, new or begun on another host."""
    call = chat_body(origin, raw)
    return (
        call if isinstance(call, requests.Refused) else _continued(http, call)
    )


def chat_body(
    origin: calls.Origin, raw: bytes
) -> calls.ChatCall | requests.Refused:
    """Check the body of a chat completion."""
    try:
        body = orjson.loads(raw)
        checked = _ChatBody.model_validate(body)
    except orjson.JSONDecodeError as exc:
        return refusals.not_run(
            _Reason.BAD_REQUEST, f'the body is not JSON: {exc}'
        )
    except pydantic.ValidationError as exc:
        return refusals.not_run(_Reason.BAD_REQUEST, _explained(exc))
    largest = origin.request_class.max_tokens
    asked = checked.max_tokens or largest
    if asked > largest:
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            f'max_tokens: class {origin.request_class.name!r} allows at '
            f'most {largest}',
        )
    body['max_tokens'] = asked
    body['stream'] = checked.stream
    if checked.seed is None:
        # Engines continue an answer alike only under the same seed.
        body['seed'] = uuid.uuid4().int & 0x7FFFFFFF
    prompt = prefixes.prompt_bytes(body['messages'])
    models = {route.model for route in origin.service.routes}
    hashes = prefixes.prefix_hashes(min(models), prompt) if models else ()
    ticket = _ticket(origin, prefixes.estimate_tokens(prompt), asked, hashes)
    return calls.ChatCall(
        origin, ticket, body, checked.stream, checked.seed is not None
    )


def _continued(
    http: exchange.Exchange, call: calls.ChatCall
) -> calls.ChatCall | requests.Refused:
    """Check a call that goes on with an answer begun on another host."""
    have = last_event_id(http)
    if isinstance(have, requests.Refused):
        return have
    model = http.header(b'x-model-version')
    if not have:
        return call
    if model is None or not call.stream or not call.seeded:
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            'header Last-Event-ID: only a stream with "seed" goes on, and '
            'only with the header X-Model-Version of its first answer',
        )
    return dataclasses.replace(call, have=have, model=ids.ModelVersion(model))


def plain_call(
    http: exchange.Exchange, origin: calls.Origin, target: bytes, raw: bytes
) -> calls.PlainCall | requests.Refused:
    """Check a call of a plain service."""
    key = http.header(b'idempotency-key')
    if key is not None and not _KEY.fullmatch(key):
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            'header Idempotency-Key: 1 to 128 printable ASCII characters',
        )
    passed_on = [
        (name, value)
        for name, value in http.headers
        if name not in _HOP_BY_HOP
    ]
    return calls.PlainCall(
        origin=origin,
        ticket=_ticket(origin, 0, 1),
        method=http.method,
        target=target,
        headers=passed_on,
        body=raw,
        key=None if key is None else ids.IdempotencyKey(key),
    )


def last_event_id(http: exchange.Exchange) -> int | requests.Refused:
    """Return the number of tokens that the caller has, 0 without header."""
    text = http.header(b'last-event-id') or '0'
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            'header Last-Event-ID: expected a number of tokens',
        )
    return int(text)


def _ticket(
    origin: calls.Origin,
    prompt_tokens: int,
    max_tokens: int,
    hashes: tuple[int, ...] = (),
) -> requests.Ticket:
    now = trio.current_time()
    request_class = origin.request_class
    return requests.Ticket(
        request_id=origin.request_id,
        workspace=origin.workspace.workspace_id,
        service=origin.service.name,
        class_name=request_class.name,
        tier=request_class.tier,
        arrived=now,
        start_by=now + request_class.deadline,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        idempotent=request_class.idempotent,
        prefix_hashes=hashes,
        first_token_target=request_class.first_token_target,
    )


def _explained(exc: pydantic.ValidationError) -> str:
    errors: list[typing.Any] = list(exc.errors())
    first = errors[0]
    where = '.'.join(str(part) for part in first['loc']) or 'body'
    return f'{where}: {first["msg"]}'
