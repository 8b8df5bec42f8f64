"""Headers of requests and responses in the platform's format."""

import math
import re

from corianderloft._internal.gateway import dialect
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.platform import names
from corianderloft._internal.utils import integers

Headers = dialect.Headers

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
_NOT_FORWARDED_TO_BACKENDS = (
    _HOP_BY_HOP_HEADERS
    | names.SYSTEM_HEADERS
    | {b'authorization', b'content-length', names.RESUME_AFTER}
)
_BEARER = 'bearer '

MAX_TOKENS = 10**9
"""Bound on tokens that a caller states; no engine holds as many."""

MAX_PARTS = 128
"""Parts of a prompt that are told apart; requests have a few."""

MAX_LOAD = 10**6
"""Bound on counts and percentages that an engine states."""

MAX_RATE = 1e9
"""Bound on the requests per second that an engine states."""

_SECONDS = re.compile(rb'[0-9]{1,15}(\.[0-9]{1,15})?')


class PlatformDialect:
    """Implements `gateway.dialect.Dialect`."""

    def read_request(self, headers: Headers) -> dialect.RequestHead:
        """Parse the headers of a caller's request."""
        values = {name.lower(): value for name, value in reversed(headers)}
        dropped = _NOT_FORWARDED_TO_BACKENDS | _listed_in_connection(headers)
        host = _text(values.get(b'host')) or ''
        deadline_ms = integers.parse(values.get(names.DEADLINE))
        resume_after = _event_id(values.get(names.RESUME_AFTER))
        if resume_after is None:
            # The server knows what it means; without it, the stream would
            # begin anew.
            dropped = dropped - {names.RESUME_AFTER}
        return dialect.RequestHead(
            request_id=_text(values.get(names.ATTEMPT_ID)) or '',
            host=host.partition(':')[0].lower(),
            key=_bearer_token(values.get(b'authorization')),
            timeout=None if deadline_ms is None else deadline_ms / 1000,
            prompt=_prompt(
                values.get(names.TOKEN_USAGE), values.get(names.PREFIX_HASH)
            ),
            resume_after=resume_after,
            forwarded_headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in dropped
            ],
        )

    def write_request(
        self,
        head: dialect.RequestHead,
        context: dialect.SendContext,
        kind: routing.RequestKind,
    ) -> Headers:
        """Return the request headers for a backend server."""
        priority = min(max(context.priority, 0), names.LOWEST_PRIORITY)
        forwarded = head.forwarded_headers
        if context.resume_after is not None:
            forwarded = [
                (name, value)
                for name, value in forwarded
                if name.lower() != names.RESUME_AFTER
            ]
        headers = [
            *forwarded,
            (names.TARGET_INSTANCE, context.engine_id.encode('latin-1')),
            (names.DEADLINE, b'%d' % max(1, int(context.time_left * 1000))),
        ]
        if kind.streamed:
            headers.append((names.PRIORITY, b'%d' % priority))
        if context.workspace is not None:
            workspace = context.workspace.encode('utf-8')
            headers.append((names.WORKSPACE, workspace))
        if context.resume_after is not None:
            headers.append((names.RESUME_AFTER, b'%d' % context.resume_after))
        return headers

    def read_response(
        self, status: int, headers: Headers
    ) -> dialect.ResponseHead:
        """Parse the head of a backend server's response."""
        values = {name.lower(): value for name, value in reversed(headers)}
        dropped = _HOP_BY_HOP_HEADERS | _listed_in_connection(headers)
        return dialect.ResponseHead(
            request_id=_text(values.get(names.ATTEMPT_ID)),
            signed=names.SIGNATURE in values,
            not_run=names.NOT_RUN in values or status == 421,
            load=_load(values.get(names.ENGINE_LOAD)),
            rate_limit=_rate(values.get(names.SERVER_LIMIT)),
            leaving=_is_leaving(headers),
            refuses_for=_refusal_time(headers) if status == 503 else None,
            forwarded_headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in dropped
            ],
        )


def _listed_in_connection(headers: Headers) -> frozenset[bytes]:
    """Return the names of headers that the ``Connection`` header lists."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    )


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1').strip()


def _event_id(value: bytes | None) -> int | None:
    """Return an ID that is exact; None if it is no number or too large."""
    event_id = integers.parse(value)
    return None if event_id == integers.MAX_INTEGER else event_id


def _rate(value: bytes | None) -> float | None:
    """Return a non-negative decimal number; None if it is malformed."""
    try:
        rate = float(value or b'')
    except ValueError:
        return None
    if not math.isfinite(rate) or rate < 0:
        return None
    return min(rate, MAX_RATE)


def _is_leaving(headers: Headers) -> bool:
    return any(
        name.lower() == names.SERVER_LEAVING and value.strip() == b'1'
        for name, value in headers
    )


def _refusal_time(headers: Headers) -> float | None:
    """Return the longest of the times that are decimal numbers of seconds."""
    return max(
        (
            float(value)
            for name, value in headers
            if name.lower() == names.RETRY_AFTER
            and _SECONDS.fullmatch(value.strip())
        ),
        default=None,
    )


def _bearer_token(value: bytes | None) -> str | None:
    text = _text(value)
    if text is None or not text.lower().startswith(_BEARER):
        return None
    return text[len(_BEARER) :].strip()


def _prompt(
    usage: bytes | None, prefix: bytes | None
) -> instances.Prompt | None:
    fields = (usage or b'').split(b',')
    if len(fields) != 2:
        return None
    tokens, max_output = (integers.parse(f, MAX_TOKENS) for f in fields)
    if tokens is None or max_output is None:
        return None
    return instances.Prompt(tokens, max_output, _parts(prefix))


def _parts(prefix: bytes | None) -> tuple[instances.PromptPart, ...]:
    """Return the parts of a prompt; none if any of them is malformed.

    If there are more than `MAX_PARTS`, the first ones, which are shared the
    most, and the last one, which belongs to the request, are returned.
    """
    *fields, last = (prefix or b'').split(b',', MAX_PARTS - 1)
    fields.append(last.rpartition(b',')[2])
    entries = [
        entry.strip().rpartition(b':') for entry in fields if entry.strip()
    ]
    if not all(name and tokens.isdigit() for name, _, tokens in entries):
        return ()
    return tuple(
        instances.PromptPart(
            ids.PromptPartId(name.decode('latin-1')),
            integers.parse(tokens, MAX_TOKENS) or 0,
        )
        for name, _, tokens in entries
    )


def _load(value: bytes | None) -> instances.LoadSample | None:
    fields = (value or b'').split(b',')
    numbers = [
        number
        for field in fields
        if (number := integers.parse(field, MAX_LOAD)) is not None
    ]
    if len(fields) < 3 or len(numbers) < len(fields):
        return None
    running, waiting, slots = numbers[:3]
    # The fourth field is a percentage of the usual processing time.
    slowdown = numbers[3] / 100 if len(numbers) > 3 else 1.0
    return instances.LoadSample(running, waiting, slots, slowdown or 1.0)
