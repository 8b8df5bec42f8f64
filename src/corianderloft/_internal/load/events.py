"""Parses the server-sent events of a streamed response."""

import dataclasses
import itertools

DONE = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class Event:
    """One event; ``number`` is its ID, or None if it has none."""

    number: int | None
    kind: bytes
    data: bytes


class EventReader:
    """Splits a byte stream into events, buffering incomplete ones."""

    def __init__(self) -> None:
        self._partial = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that are completed by ``chunk``."""
        *blocks, self._partial = (self._partial + chunk).split(b'\n\n')
        return [_parse_event(block) for block in blocks if block]


def _parse_event(block: bytes) -> Event:
    fields = {
        name: value.removeprefix(b' ')
        for name, _, value in (
            line.partition(b':') for line in block.split(b'\n')
        )
    }
    number = fields.get(b'id', b'')
    return Event(
        int(number) if number.isdigit() else None,
        fields.get(b'event', b'message'),
        fields.get(b'data', b''),
    )


def token_gaps(times: list[float]) -> list[float]:
    """Return the time gaps between tokens, in seconds."""
    return [later - earlier for earlier, later in itertools.pairwise(times)]
