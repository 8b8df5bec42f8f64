"""Heads of requests and answers in the platform's words."""

from corianderloft._internal.gateway import dialect
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.platform import names

Headers = dialect.Headers

_OF_ONE_CONNECTION = frozenset(
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
_NOT_TO_ENGINES = (
    _OF_ONE_CONNECTION
    | names.SET_BY_SYSTEM
    | {b'authorization', b'content-length', names.RESUME_AFTER}
)
_BEARER = 'bearer '


class PlatformDialect:
    """Implements `gateway.dialect.Dialect`."""

    def read_request(self, headers: Headers) -> dialect.RequestHead:
        """Return what the headers of a caller's request say."""
        found = {name.lower(): value for name, value in reversed(headers)}
        dropped = _NOT_TO_ENGINES | _named_by_connection(headers)
        host = _text(found.get(b'host')) or ''
        patience = _number(found.get(names.DEADLINE))
        return dialect.RequestHead(
            request_id=_text(found.get(names.ATTEMPT_ID)) or '',
            host=host.partition(':')[0].lower(),
            key=_key(found.get(b'authorization')),
            timeout=None if patience is None else patience / 1000,
            prompt=_prompt(found.get(names.TOKENS), found.get(names.PREFIX)),
            resume_after=_number(found.get(names.RESUME_AFTER)),
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
        """Return the headers for a backend server."""
        urgency = min(max(context.priority, 0), names.LAST_URGENCY)
        headers = [
            *head.forwarded_headers,
            (names.TARGET, context.engine_id.encode('latin-1')),
            (names.DEADLINE, b'%d' % max(1, int(context.time_left * 1000))),
        ]
        if kind.streamed:
            headers.append((names.PRIORITY, b'%d' % urgency))
        if context.workspace is not None:
            workspace = context.workspace.encode('utf-8')
            headers.append((names.WORKSPACE, workspace))
        if context.resume_after is not None:
            headers.append((names.RESUME_AFTER, b'%d' % context.resume_after))
        return headers

    def read_response(
        self, status: int, headers: Headers
    ) -> dialect.ResponseHead:
        """Return what the head of an answer says."""
        found = {name.lower(): value for name, value in reversed(headers)}
        dropped = _OF_ONE_CONNECTION | _named_by_connection(headers)
        return dialect.ResponseHead(
            request_id=_text(found.get(names.ATTEMPT_ID)),
            signed=names.SIGNATURE in found,
            not_run=names.NOT_RUN in found or status == 421,
            load=_load(found.get(names.LOAD)),
            forwarded_headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in dropped
            ],
        )


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return the headers that ``Connection`` says to drop."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    )


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1').strip()


def _number(value: bytes | None) -> int | None:
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def _key(value: bytes | None) -> str | None:
    text = _text(value)
    if text is None or not text.lower().startswith(_BEARER):
        return None
    return text[len(_BEARER) :].strip()


def _prompt(
    usage: bytes | None, prefix: bytes | None
) -> instances.Prompt | None:
    numbers = (usage or b'').split(b',')
    if len(numbers) != 2 or not all(n.strip().isdigit() for n in numbers):
        return None
    tokens, most = map(int, numbers)
    return instances.Prompt(tokens, most, _parts(prefix))


def _parts(prefix: bytes | None) -> tuple[instances.PromptPart, ...]:
    """Return the parts of a prompt; nothing when one cannot be read."""
    entries = [
        entry.strip().rpartition(b':')
        for entry in (prefix or b'').split(b',')
        if entry.strip()
    ]
    if not all(name and tokens.isdigit() for name, _, tokens in entries):
        return ()
    return tuple(
        instances.PromptPart(name.decode('latin-1'), int(tokens))
        for name, _, tokens in entries
    )


def _load(value: bytes | None) -> instances.LoadSample | None:
    figures = (value or b'').split(b',')
    if len(figures) < 3 or not all(f.strip().isdigit() for f in figures):
        return None
    running, waiting, slots = map(int, figures[:3])
    # The fourth figure is a percentage of the usual time of work.
    slowdown = int(figures[3]) / 100 if len(figures) > 3 else 1.0
    return instances.LoadSample(running, waiting, slots, slowdown or 1.0)
