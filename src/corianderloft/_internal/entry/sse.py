"""Whole server-sent events out of the pieces in which they arrive."""

import typing

import orjson

EVENT_END = b'\n\n'
DONE = b'data: [DONE]\n\n'
_DATA = b'data:'
_ID = b'id:'
_NEXT_ID = b'\nid:'


class EventBuffer:
    """Keeps back the part of an event that is not whole yet.

    Parameters
    ----------
    limit : int
        Longest event in bytes.
    """

    def __init__(self, limit: int = 1048576) -> None:
        self._limit = limit
        self._rest = b''

    def feed(self, data: bytes) -> bytes:
        """Return all events that are whole with ``data``, possibly none.

        Raises
        ------
        ValueError
            If an event is longer than the limit.
        """
        if self._rest:
            data = self._rest + data
            self._rest = b''
        if data.endswith(EVENT_END):
            return data
        cut = data.rfind(EVENT_END)
        whole = data[: cut + len(EVENT_END)] if cut >= 0 else b''
        self._rest = data[len(whole) :]
        if len(self._rest) > self._limit:
            raise ValueError(f'an event is longer than {self._limit} bytes')
        return whole

    def incomplete(self) -> bytes:
        """Return the part of an event that was kept back."""
        return self._rest


def last_id(events: bytes) -> int | None:
    """Return the id of the last event that has one, or None.

    Raises
    ------
    ValueError
        If the id is not a number.
    """
    at = events.rfind(_NEXT_ID)
    if at >= 0:
        at += len(_NEXT_ID)
    elif events.startswith(_ID):
        at = len(_ID)
    else:
        return None
    return int(events[at : events.find(b'\n', at)])


def events_after(events: bytes, count: int) -> bytes:
    """Return the events behind the one that delivers token ``count``.

    An event without a token, which says how the answer ended, bears the
    number of the last token and is kept.
    """
    return b''.join(
        event
        for event in split_events(events)
        if (number := last_id(event)) is None
        or number > count
        or (number == count and not _delivers(event))
    )


def _delivers(event: bytes) -> bool:
    """Return whether an event holds a token."""
    data = event.partition(_DATA)[2]
    try:
        delta = orjson.loads(data)['choices'][0]['delta']
        return bool(delta)
    except (ValueError, KeyError, IndexError, TypeError):
        return True


def split_events(events: bytes) -> typing.Iterator[bytes]:
    """Yield whole events one by one."""
    for event in events.split(EVENT_END):
        if event:
            yield event + EVENT_END
