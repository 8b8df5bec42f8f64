"""Assembly and filtering of server-sent events."""

import re
import typing

import orjson

EVENT_END = b'\n\n'
DONE = b'data: [DONE]\n\n'
_DATA = b'data:'
_ID = b'id:'
_NEXT_ID = b'\nid:'
_FIELD = re.compile(rb'^[^:\n]', re.MULTILINE)


class EventBuffer:
    """Assembles received chunks into complete events.

    Parameters
    ----------
    limit : int
        Maximum length of an event, in bytes.
    """

    def __init__(self, limit: int = 1048576) -> None:
        self._limit = limit
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return all events completed by ``data``, possibly none.

        The time it takes does not depend on the length of the buffered part.

        Raises
        ------
        ValueError
            If an event is longer than the limit.
        """
        if not self._incomplete and data.endswith(EVENT_END):
            return data
        # The end of an event may have been split.
        search_from = max(0, len(self._incomplete) - len(EVENT_END) + 1)
        self._incomplete += data
        last_end = self._incomplete.rfind(EVENT_END, search_from)
        complete = b''
        if last_end >= 0:
            length = last_end + len(EVENT_END)
            complete = bytes(self._incomplete[:length])
            del self._incomplete[:length]
        if len(self._incomplete) > self._limit:
            raise ValueError(f'an event is longer than {self._limit} bytes')
        return complete

    def incomplete(self) -> bytes:
        """Return the buffered part of an incomplete event."""
        return bytes(self._incomplete)


def has_content(events: bytes) -> bool:
    """Return whether there is more than comments and empty events."""
    return _FIELD.search(events) is not None


def last_id(events: bytes) -> int | None:
    """Return the id of the last event that has one, or None.

    Raises
    ------
    ValueError
        If the id is not a number.
    """
    start = events.rfind(_NEXT_ID)
    if start >= 0:
        start += len(_NEXT_ID)
    elif events.startswith(_ID):
        start = len(_ID)
    else:
        return None
    return int(events[start : events.find(b'\n', start)])


def last_token(events: bytes, token: int) -> int:
    """Return the id of the last token in events that follow ``token``.

    An event without a token has the id of the last token, or none.

    Raises
    ------
    ValueError
        If a token came before, or is out of order.
    """
    for event in split_events(events):
        event_id = last_id(event)
        if event_id is None:
            continue
        if event_id < token or (event_id == token and _has_token(event)):
            raise ValueError(f'token {event_id} came after token {token}')
        token = event_id
    return token


def until_done(events: bytes) -> bytes:
    """Return the events up to the one that ends the stream, with it."""
    if events.startswith(DONE):
        return DONE
    end = events.find(EVENT_END + DONE)
    if end < 0:
        return events
    return events[: end + len(EVENT_END + DONE)]


def events_after(events: bytes, last_token: int) -> bytes:
    """Return the events that follow token ``last_token``.

    The event with the finish reason holds no token and has the id of the
    last token. It is kept.
    """
    return b''.join(
        event
        for event in split_events(events)
        if (event_id := last_id(event)) is None
        or event_id > last_token
        or (event_id == last_token and not _has_token(event))
    )


def _has_token(event: bytes) -> bool:
    """Return whether an event contains a token."""
    data = event.partition(_DATA)[2]
    try:
        delta = orjson.loads(data)['choices'][0]['delta']
        return bool(delta)
    except (ValueError, KeyError, IndexError, TypeError):
        return True


def split_events(events: bytes) -> typing.Iterator[bytes]:
    """Yield complete events one by one."""
    for event in events.split(EVENT_END):
        if event:
            yield event + EVENT_END
