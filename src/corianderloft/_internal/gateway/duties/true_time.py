"""Time of day that the fleet agrees on.

The wall clock of a host may be wrong by seconds and may jump. Each host keeps
an offset from the clock that runs since its boot, so that a jump changes
nothing; the candidates of the duties compute the offset that each host should
have from the wall clocks of all, and tell those that deviate.
"""

import collections
import collections.abc
import logging
import time

from corianderloft._internal.models import ids
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

TOLERANCE_S = 0.03
"""Deviation that is left as it is: datagrams within a fleet arrive within a
few milliseconds, on a busy host within some tens."""

LOGGED_CORRECTION_S = 0.5
"""Correction that is logged; a wall clock that is set right moves by less."""

SAMPLES = 5
"""Samples of each host, of which that with the least delay counts."""

EXPIRE_AFTER_S = 6.0
"""Time after which a host or a correction no longer counts: several times the
interval between datagrams."""


class TrueTime:
    """The time of day as this host knows it.

    Parameters
    ----------
    wall : callable
        Returns the seconds since 1970 by the wall clock of this host.

    Attributes
    ----------
    offset : float
        Difference to `clock.now`, in seconds.
    """

    def __init__(
        self, wall: collections.abc.Callable[[], float] = time.time
    ) -> None:
        self._wall = wall
        self.offset = self.wall_offset()
        self._proposed: dict[ids.HostId, tuple[float, float]] = {}

    def now(self) -> float:
        """Return the seconds since 1970."""
        return clock.now() + self.offset

    def wall_offset(self) -> float:
        """Return the offset of the wall clock of this host."""
        return self._wall() - clock.now()

    def propose(self, host_id: ids.HostId, offset: float, now: float) -> None:
        """Use the offset that a candidate computed for this host.

        The candidates that were heard from lately are asked for the median,
        so that one that is wrong is outvoted.
        """
        self._proposed[host_id] = (now, offset)
        self._proposed = {
            host: (at, proposed)
            for host, (at, proposed) in self._proposed.items()
            if now - at <= EXPIRE_AFTER_S
        }
        offsets = [proposed for _, proposed in self._proposed.values()]
        agreed = _median(offsets)
        change = agreed - self.offset
        if abs(change) <= TOLERANCE_S:
            return
        self.offset = agreed
        if abs(change) >= LOGGED_CORRECTION_S:
            logger.warning(
                'time of day corrected by that of other hosts',
                extra={'change_s': round(change, 3)},
            )


class _HostClock:
    """Clocks of one run of a host, as heard by this one."""

    def __init__(self, start: str) -> None:
        self.start = start
        self.heard_at = 0.0
        self.wall_offset = 0.0
        self._differences: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )

    def add(self, sent_at: float, wall: float, now: float) -> None:
        self.heard_at = now
        self.wall_offset = wall - sent_at
        self._differences.append(sent_at - now)

    @property
    def difference(self) -> float:
        """Its `clock.now` less that of this host; the least delay counts."""
        return max(self._differences)


class ClockSurvey:
    """The clocks of all hosts that were heard from lately."""

    def __init__(self) -> None:
        self._hosts: dict[ids.HostId, _HostClock] = {}

    def record(
        self,
        host_id: ids.HostId,
        start: str,
        sent_at: float,
        wall: float,
        now: float,
    ) -> None:
        """Record what a host says of its clocks.

        Parameters
        ----------
        host_id : HostId
            The host.
        start : str
            Distinguishes restarts of the host.
        sent_at, wall : float
            Its `clock.now` and its wall clock when it sent the datagram.
        now : float
            When the datagram arrived, on `clock.now` of this host.
        """
        found = self._hosts.get(host_id)
        if found is None or found.start != start:
            found = self._hosts[host_id] = _HostClock(start)
        found.add(sent_at, wall, now)

    def agreed_offset(self, now: float, fleet_size: int) -> float | None:
        """Return the median offset of all hosts, on the clock of this one.

        Returns None unless most of the fleet was heard from lately: the
        median of a few is no better than one clock.
        """
        for host_id, heard in list(self._hosts.items()):
            if now - heard.heard_at > EXPIRE_AFTER_S:
                del self._hosts[host_id]
        offsets = [h.wall_offset + h.difference for h in self._hosts.values()]
        if 2 * len(offsets) <= fleet_size or not offsets:
            return None
        return _median(offsets)

    def offset_for(
        self, host_id: ids.HostId, agreed_offset: float
    ) -> float | None:
        """Return the offset that a host should have on its own clock."""
        heard = self._hosts.get(host_id)
        return None if heard is None else agreed_offset - heard.difference


def _median(values: list[float]) -> float:
    """Return the lower median.

    Every start of a host would load the statistics module for this alone.
    """
    return sorted(values)[(len(values) - 1) // 2]
