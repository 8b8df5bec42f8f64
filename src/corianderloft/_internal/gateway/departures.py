"""Entries of servers and hosts that had left before the store was restored.

A store that comes back from an older copy may list servers and hosts as they
were before they drained or left. They would get requests again until the
store notices their silence.
"""

import collections
import enum
import typing

from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import states

RETENTION_S = 60.0
"""Time for which a departure is remembered; a copy is only some seconds
old."""

MAX_DEPARTURES = 4096
"""Departures remembered; the oldest ones are dropped."""

Entry = instances.Instance | members.Member


class Verdict(enum.Enum):
    """Whether an entry that a restored store lists is to be used."""

    USE = 'use'
    HOLD = 'hold'


class _Departure(typing.NamedTuple):
    run: object
    noted_at: float


class Departures:
    """Remembers which runs of servers and hosts drain or have left.

    Times are on `clock.now`, in seconds.
    """

    def __init__(self) -> None:
        self._departures: collections.OrderedDict[str, _Departure] = (
            collections.OrderedDict()
        )

    def note(self, key: str, entry: Entry, now: float) -> None:
        """Record that the owner of an entry drains or has left."""
        self._departures[key] = _Departure(_run(entry), now)
        self._departures.move_to_end(key)
        if len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)

    def forget(self, key: str) -> None:
        """Record that an entry is in use."""
        self._departures.pop(key, None)

    def judge(self, key: str, entry: Entry, now: float) -> Verdict:
        """Return whether to use an entry that a restored store lists.

        An entry of the same run as before may be one of the copy. A server
        that drains says so in its entry, which is used.
        """
        departure = self._departures.get(key)
        if (
            departure is None
            or now > departure.noted_at + RETENTION_S
            or departure.run != _run(entry)
            or is_draining(entry)
        ):
            return Verdict.USE
        return Verdict.HOLD


def is_draining(entry: Entry) -> bool:
    """Return whether an entry is that of a server that drains."""
    return (
        isinstance(entry, instances.Instance)
        and entry.state is not states.BackendState.LIVE
    )


def _run(entry: Entry) -> object:
    """Return what tells apart the runs under one ID."""
    if isinstance(entry, members.Member):
        return entry.start
    return entry.started_at_ms
