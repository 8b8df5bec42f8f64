"""Outcomes of a caller's requests."""

import dataclasses
import typing

import orjson


@dataclasses.dataclass(frozen=True)
class Event:
    """One event of a streamed chat completion.

    Attributes
    ----------
    number : int
        Number of tokens delivered so far, including this event.
    chunk : dict
        The ``chat.completion.chunk`` object.
    """

    number: int
    chunk: dict[str, typing.Any]

    @property
    def text(self) -> str:
        """Text of the token; empty if the event has none."""
        choices = self.chunk.get('choices') or [{}]
        return str(choices[0].get('delta', {}).get('content') or '')

    @property
    def finish_reason(self) -> str | None:
        """Finish reason; None before the end of the answer."""
        choices = self.chunk.get('choices') or [{}]
        reason = choices[0].get('finish_reason')
        return None if reason is None else str(reason)


@dataclasses.dataclass(frozen=True)
class ChatAnswer:
    """Complete answer to a chat completion request.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    text : str
        Text of the answer.
    tokens : int
        Length of the answer, in tokens.
    finish_reason : str or None
        Finish reason of the last event.
    resumed : int
        Number of times it was resumed over a new connection.
    """

    request_id: str
    text: str
    tokens: int
    finish_reason: str | None
    resumed: int = 0


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """Complete answer of a plain service."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request was refused.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    reason : str
        Machine-readable reason.
    run : str
        ``not_run``, ``ran`` or ``unknown``.
    detail : str
        Human-readable message.
    retry_after : float or None
        Time after which to retry, in seconds; None if a retry will not help.
    """

    request_id: str
    reason: str
    run: str
    detail: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No entry host could be reached, or none could complete an answer.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    run : str
        ``not_run``, ``ran`` or ``unknown``.
    detail : str
        Description of the last failure.
    """

    request_id: str
    run: str
    detail: str


def parse_refusal(request_id: str, body: bytes) -> Refused | None:
    """Parse a refusal; return None if the body is not one."""
    try:
        error = orjson.loads(body)['error']
        retry_after = error.get('retry_after_s')
        return Refused(
            request_id,
            str(error['reason']),
            str(error['run']),
            str(error.get('detail', '')),
            None if retry_after is None else float(retry_after),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
