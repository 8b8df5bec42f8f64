"""Server-sent events out of a streamed answer."""

import dataclasses
import itertools

DONE = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class Event:
    """One event; ``number`` is its id, None when it has none."""

    number: int | None
    kind: bytes
    data: bytes


class EventReader:
    """Collects bytes until events are whole."""

    def __init__(self) -> None:
        self._partial = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that end in ``chunk``."""
        *blocks, self._partial = (self._partial + chunk).split(b'\n\n')
        return [_event(block) for block in blocks if block]


def _event(block: bytes) -> Event:
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


def gaps_of(times: list[float]) -> list[float]:
    """Return the times between tokens, in seconds."""
    return [later - earlier for earlier, later in itertools.pairwise(times)]
