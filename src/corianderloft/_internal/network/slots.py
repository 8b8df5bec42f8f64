"""Choice of the connections to close while other clients wait for a slot.

Nothing here waits or uses the network; `serving` does. The load that it
answers is more clients than a process takes connections, of which some hold
one without using it: they send nothing, or what belongs to no request, or do
not read their response. Requests in progress of clients that read are never
cut.
"""

import collections.abc
import dataclasses
import enum

UNUSED_TIME_S = 1.0
"""Time that a connection without a request, between two requests or with
unasked bytes is kept. Clients that open one send a request at once."""

KEPT_TIME_S = 10.0
"""Time that a connection between two requests is kept if there are others that
have carried none."""

UNREAD_TIME_S = 10.0
"""Time in which a client has to read what was written for it."""


class Use(enum.Enum):
    """What a connection is used for.

    The values are labels of the metric of closed connections, and the order
    is that in which connections are given up.
    """

    UNASKED = 'unasked_bytes'
    UNUSED = 'unused'
    KEPT = 'idle'
    UNREAD = 'slow_reader'
    ACTIVE = 'active'


_PRECEDENCE = {use: number for number, use in enumerate(Use)}


@dataclasses.dataclass(frozen=True, eq=False)
class Slot:
    """The use of one connection.

    Attributes
    ----------
    use : Use
        What it is used for.
    since : float
        When that began, in seconds.
    urgency : int
        Priority of its request; 0 is the most urgent.
    """

    use: Use
    since: float
    urgency: int = 0


def closable(slots: collections.abc.Iterable[Slot], now: float) -> list[Slot]:
    """Return the slots that may be given up, the first one first.

    Less urgent requests go before others, and longer times before shorter
    ones.

    Parameters
    ----------
    slots : iterable of Slot
        All connections of a server.
    now : float
        Present time in seconds.
    """
    slots = tuple(slots)
    kept_time = UNUSED_TIME_S
    if any(slot.use is Use.UNUSED for slot in slots):
        kept_time = KEPT_TIME_S
    limits = {
        Use.UNASKED: UNUSED_TIME_S,
        Use.UNUSED: UNUSED_TIME_S,
        Use.KEPT: kept_time,
        Use.UNREAD: UNREAD_TIME_S,
    }
    return sorted(
        (
            slot
            for slot in slots
            if slot.use in limits and now - slot.since > limits[slot.use]
        ),
        key=lambda slot: (
            _PRECEDENCE[slot.use],
            -slot.urgency,
            slot.since,
        ),
    )


__all__ = ['Slot', 'Use', 'closable']
