"""Validation of caller requests, before any routing decision."""

import dataclasses
import re
import typing
import uuid

import orjson
import pydantic
import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import json_size
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.network import exchange
from corianderloft._internal.settings import callers
from corianderloft._internal.utils import prefixes

_IDEMPOTENCY_KEY = re.compile(r'[\x21-\x7e]{1,128}')
_Reason = reasons.RefusalReason

_NOT_FORWARDED = frozenset(
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
    """One chat message; fields unknown to the host are forwarded."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: str


class _ChatBody(pydantic.BaseModel):
    """Fields of a chat completion that the host reads."""

    model_config = pydantic.ConfigDict(extra='allow')

    messages: list[_ChatMessage] = pydantic.Field(min_length=1)
    stream: pydantic.StrictBool = False
    max_tokens: int | None = pydantic.Field(None, ge=1)
    seed: int | None = None
    n: int = pydantic.Field(1, ge=1, le=1)


async def read_body(
    http: exchange.Exchange, cfg: callers.CallerSettings, tier: ids.Tier
) -> bytes | requests.Refused | exchange.CallerDisconnected:
    """Read the body within the limits on size, time and memory.

    Parameters
    ----------
    http : Exchange
        The request.
    cfg : CallerSettings
        Limits on size and time.
    tier : Tier
        Priority of the request for memory.
    """
    if http.memory is not None:
        http.memory.set_urgency(tier)
    body = await http.body(cfg.max_body_bytes, cfg.read_time)
    if isinstance(body, exchange.BodyTooLarge):
        return refusals.not_run(
            _Reason.TOO_LARGE, f'the body is longer than {body.limit} bytes'
        )
    if isinstance(body, exchange.NoMemory):
        return _no_memory(body.seconds)
    if isinstance(body, exchange.BodyTooSlow):
        return refusals.not_run(
            _Reason.TOO_SLOW,
            f'the body did not arrive within {body.seconds:g} s',
        )
    return body


def _no_memory(seconds: float) -> requests.Refused:
    return refusals.not_run(
        _Reason.NO_MEMORY,
        f'this host had no memory for the body within {seconds:g} s',
        refusals.NO_MEMORY_RETRY_AFTER_S,
    )


async def reserve_values(
    http: exchange.Exchange, cfg: callers.CallerSettings, raw: bytes
) -> requests.Refused | None:
    """Reserve memory for the values of a body before it is parsed.

    Parameters
    ----------
    http : Exchange
        The request.
    cfg : CallerSettings
        Limit on the number of values.
    raw : bytes
        The body.

    Returns
    -------
    Refused or None
        Why the body is not parsed; None if it may be.
    """
    values = json_size.count_values(raw, json_size.SMALL_VALUES)
    if values > cfg.max_body_values:
        return refusals.not_run(
            _Reason.TOO_LARGE,
            f'the body has more than {cfg.max_body_values} JSON values',
        )
    if await http.reserve_body(json_size.parsed_bytes(values)):
        return None
    return _no_memory(exchange.BODY_WAIT_S)


def check_chat_call(
    http: exchange.Exchange, origin: calls.Origin, raw: bytes
) -> calls.ChatCall | requests.Refused:
    """Check a chat completion, new or resumed from another host."""
    call = check_chat_body(origin, raw)
    return (
        call
        if isinstance(call, requests.Refused)
        else _check_resume(http, call)
    )


def check_chat_body(
    origin: calls.Origin, raw: bytes
) -> calls.ChatCall | requests.Refused:
    """Check the body of a chat completion."""
    try:
        body = orjson.loads(raw)
        parsed = _ChatBody.model_validate(body)
    except orjson.JSONDecodeError as exc:
        return refusals.not_run(
            _Reason.BAD_REQUEST, f'the body is not JSON: {exc}'
        )
    except pydantic.ValidationError as exc:
        return refusals.not_run(_Reason.BAD_REQUEST, _first_error(exc))
    allowed_tokens = origin.request_class.max_tokens
    max_tokens = parsed.max_tokens or allowed_tokens
    if max_tokens > allowed_tokens:
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            f'max_tokens: class {origin.request_class.name!r} allows at '
            f'most {allowed_tokens}',
        )
    body['max_tokens'] = max_tokens
    body['stream'] = parsed.stream
    if parsed.seed is None:
        # Another engine can resume the response only with the same seed.
        body['seed'] = uuid.uuid4().int & 0x7FFFFFFF
    prompt = prefixes.prompt_bytes(body['messages'])
    models = {route.model for route in origin.service.routes}
    hashes = prefixes.prefix_hashes(min(models), prompt) if models else ()
    ticket = _make_ticket(
        origin, prefixes.estimate_tokens(prompt), max_tokens, hashes
    )
    return calls.ChatCall(
        origin, ticket, body, parsed.stream, parsed.seed is not None
    )


def _check_resume(
    http: exchange.Exchange, call: calls.ChatCall
) -> calls.ChatCall | requests.Refused:
    """Check a call that resumes a response from another host."""
    resume_after = parse_last_event_id(http)
    if isinstance(resume_after, requests.Refused):
        return resume_after
    model = http.header(b'x-model-version')
    if not resume_after:
        return call
    if model is None or not call.stream or not call.seeded:
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            'header Last-Event-ID: only a stream with "seed" goes on, and '
            'only with the header X-Model-Version of its first answer',
        )
    return dataclasses.replace(
        call, resume_after=resume_after, model=ids.ModelVersion(model)
    )


def check_plain_call(
    http: exchange.Exchange, origin: calls.Origin, target: bytes, raw: bytes
) -> calls.PlainCall | requests.Refused:
    """Check a call of a plain service."""
    key = http.header(b'idempotency-key')
    if key is not None and not _IDEMPOTENCY_KEY.fullmatch(key):
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            'header Idempotency-Key: 1 to 128 printable ASCII characters',
        )
    forwarded_headers = [
        (name, value)
        for name, value in http.headers
        if name not in _NOT_FORWARDED
    ]
    return calls.PlainCall(
        origin=origin,
        ticket=_make_ticket(origin, 0, 1),
        method=http.method,
        target=target,
        headers=forwarded_headers,
        body=raw,
        idempotency_key=None if key is None else ids.IdempotencyKey(key),
    )


def parse_last_event_id(http: exchange.Exchange) -> int | requests.Refused:
    """Return the number of tokens already received, by default 0."""
    text = http.header(b'last-event-id') or '0'
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return refusals.not_run(
            _Reason.BAD_REQUEST,
            'header Last-Event-ID: expected a number of tokens',
        )
    return int(text)


def _make_ticket(
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


def _first_error(exc: pydantic.ValidationError) -> str:
    errors: list[typing.Any] = list(exc.errors())
    first = errors[0]
    where = '.'.join(str(part) for part in first['loc']) or 'body'
    return f'{where}: {first["msg"]}'
