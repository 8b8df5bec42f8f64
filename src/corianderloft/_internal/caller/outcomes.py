"""Outcomes of a caller's requests."""

import dataclasses
import typing

import orjson


@dataclasses.dataclass(frozen=True)
class Event:
    """One event of a streamed answer.

    Attributes
    ----------
    number : int
        Tokens delivered so far, this event included.
    chunk : dict
        The ``chat.completion.chunk``.
    """

    number: int
    chunk: dict[str, typing.Any]

    @property
    def text(self) -> str:
        """The text of the token, empty when the event has none."""
        choices = self.chunk.get('choices') or [{}]
        return str(choices[0].get('delta', {}).get('content') or '')

    @property
    def finish_reason(self) -> str | None:
        """Why the answer ended; None before its end."""
        choices = self.chunk.get('choices') or [{}]
        reason = choices[0].get('finish_reason')
        return None if reason is None else str(reason)


@dataclasses.dataclass(frozen=True)
class ChatAnswer:
    """A whole answer to a chat completion.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    text : str
        The text.
    tokens : int
        Its length in tokens.
    finish_reason : str or None
        Why it ended.
    resumed : int
        How often it went on over a new connection.
    """

    request_id: str
    text: str
    tokens: int
    finish_reason: str | None
    resumed: int = 0


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """A whole answer of a plain service."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Refused:
    """The system did not answer the request.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    reason : str
        Machine-readable reason.
    run : str
        ``not_run``, ``ran`` or ``unknown``.
    detail : str
        Message for a person.
    retry_after : float or None
        When to come back, in seconds; None when it will not help.
    """

    request_id: str
    reason: str
    run: str
    detail: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No entry host could be asked, or none went on with an answer.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    run : str
        ``not_run``, ``ran`` or ``unknown``.
    detail : str
        What was met last.
    """

    request_id: str
    run: str
    detail: str


def refused(request_id: str, body: bytes) -> Refused | None:
    """Return the refusal in a body, or None if it is none of the system."""
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
