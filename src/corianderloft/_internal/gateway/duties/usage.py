"""Counts of requests that began to run, by workspace and window.

Each host counts for itself and sends its cumulative counts to the candidates
of the duties, which add those of all hosts up.
"""

import collections
import collections.abc
import typing

from corianderloft._internal.gateway.duties import exchange
from corianderloft._internal.gateway.duties import true_time
from corianderloft._internal.models import ids
from corianderloft._internal.utils import integers

Counts = dict[ids.WorkspaceId, int]

FINAL_SENDS = 3
"""Datagrams in a row that contain a window which has become final."""

REPEAT_EVERY = 4
"""Datagrams of which one contains a final window after that, for candidates
that were elected since."""

MAX_COUNT = 10**9
MAX_WINDOWS = 16
"""Limits on what a datagram may contain."""

MAX_RUNS_OF_HOSTS = 4096
"""Runs of hosts whose counts are kept; the fleets have some hundreds."""

RECENT_S = 2.5
"""Time since its last datagram in which a host that is no longer listed still
counts as running: it serves its last requests."""


class Run:
    """One run of a request on a backend server, until it has ended."""

    def __init__(
        self, counter: 'UsageCounter', workspace: ids.WorkspaceId | None
    ) -> None:
        self._counter = counter
        self._workspace = workspace
        self._window: int | None = None

    def began(self) -> None:
        """Record that the server began to run the request now."""
        if self._workspace is not None and self._window is None:
            self._window = self._counter.add(self._workspace)

    def did_not_run(self) -> None:
        """Take the run back, unless its window is final already."""
        if self._workspace is not None and self._window is not None:
            self._counter.take_back(self._workspace, self._window)


class UsageCounter:
    """Counts of this host; implements `sections.Section` for sending.

    A run counts from its beginning. If it turns out that it did not run, it is
    taken back; a count that was sent as final no longer changes.

    Parameters
    ----------
    time_of_day : TrueTime
        Time of day.
    window : float
        Length of a window in seconds.
    kept_for : float
        Time after its end for which the counts of a window are kept.
    table : UsageTable
        Receives the counts of all hosts.
    """

    def __init__(
        self,
        time_of_day: true_time.TrueTime,
        window: float,
        kept_for: float,
        table: 'UsageTable',
    ) -> None:
        self._time = time_of_day
        self._window = window
        self._kept_windows = int(kept_for / window) + 2
        self._table = table
        self._since = self._current()
        self._final = self._since - 1
        self._counts: dict[int, collections.Counter[ids.WorkspaceId]] = {}
        self._sends: collections.Counter[int] = collections.Counter()

    def run(self, workspace: ids.WorkspaceId | None) -> Run:
        """Return the run of a request that is sent to a backend server."""
        return Run(self, workspace)

    def add(self, workspace: ids.WorkspaceId) -> int:
        """Count a run; return its window."""
        self._follow_correction()
        window = max(self._current(), self._final + 1)
        self._counts.setdefault(window, collections.Counter())[workspace] += 1
        return window

    def take_back(self, workspace: ids.WorkspaceId, window: int) -> None:
        """Take a run back, unless its window is final."""
        if window > self._final:
            self._counts[window][workspace] -= 1

    def encode(self) -> typing.Any:
        """Return the counts to send."""
        self._follow_correction()
        now = self._time.now()
        settled = int((now - exchange.SETTLE_TIME_S) // self._window) - 1
        self._final = max(self._final, settled)
        for window in list(self._counts):
            if window <= self._final - self._kept_windows:
                del self._counts[window]
                self._sends.pop(window, None)
        return {
            'since': self._since,
            'final': self._final,
            'windows': [
                [w, +counts if self._is_due(w) else None]
                for w, counts in sorted(self._counts.items())
            ],
        }

    def receive(
        self, host_id: ids.HostId, start: str, value: typing.Any, now: float
    ) -> None:
        """Pass the counts of a host to the table."""
        self._table.receive(host_id, start, value, now)

    def _is_due(self, window: int) -> bool:
        if window > self._final:
            return True
        self._sends[window] += 1
        sends = self._sends[window]
        return sends <= FINAL_SENDS or sends % REPEAT_EVERY == 0

    def _follow_correction(self) -> None:
        """Leave windows that have not begun: the clock was ahead."""
        current = self._current()
        if self._final < current:
            return
        ahead = [window for window in self._counts if window > current]
        counts = self._counts.setdefault(current, collections.Counter())
        for window in ahead:
            counts.update(self._counts.pop(window))
        self._since, self._final = current, current - 1

    def _current(self) -> int:
        return int(self._time.now() // self._window)


class _HostCounts:
    """Counts of one run of a host."""

    def __init__(self) -> None:
        self.heard_at = 0.0
        self.since = 0
        self.final = -1
        self.windows: dict[int, Counts] = {}
        # Windows that it has counts of and that did not arrive yet.
        self.missing: set[int] = set()

    def is_final(self, window: int) -> bool:
        return self.final >= window and window not in self.missing


class UsageTable:
    """Counts of all hosts, as received.

    Parameters
    ----------
    time_of_day : TrueTime
        Time of day.
    window : float
        Length of a window in seconds.
    """

    def __init__(self, time_of_day: true_time.TrueTime, window: float) -> None:
        self._time = time_of_day
        self._window = window
        self._hosts: collections.OrderedDict[
            tuple[ids.HostId, str], _HostCounts
        ] = collections.OrderedDict()

    def receive(
        self, host_id: ids.HostId, start: str, value: typing.Any, now: float
    ) -> None:
        """Use the counts of a host.

        Raises
        ------
        ValueError, TypeError, KeyError, AttributeError
            If they are malformed.
        """
        since = integers.bounded(value['since'], 0)
        current = int(self._time.now() // self._window)
        # A host whose clock is ahead may take windows to be over.
        final = min(integers.bounded(value['final'], 0), current - 1)
        rows = [
            (integers.bounded(window, 0), _counts(row))
            for window, row in value['windows'][:MAX_WINDOWS]
        ]
        key = (host_id, start)
        host = self._hosts.setdefault(key, _HostCounts())
        self._hosts.move_to_end(key)
        if len(self._hosts) > MAX_RUNS_OF_HOSTS:
            self._hosts.popitem(last=False)
        host.heard_at, host.since = now, since
        for window, counts in rows:
            if not current - MAX_WINDOWS <= window <= current + 1:
                continue
            is_known = window in host.windows
            if counts is None:
                if not is_known:
                    host.missing.add(window)
            elif not is_known or window > host.final <= final:
                host.windows[window] = counts
                host.missing.discard(window)
        host.final = max(host.final, final)

    def is_final(
        self,
        window: int,
        listed: collections.abc.Iterable[tuple[ids.HostId, str]],
        now: float,
    ) -> bool:
        """Return whether all hosts have completed their counts of a window.

        Parameters
        ----------
        window : int
            The window.
        listed : iterable of tuple
            IDs and starts of the members.
        now : float
            Current time on `clock.now`.
        """
        running = {
            key
            for key, host in self._hosts.items()
            if now - host.heard_at <= RECENT_S
        }
        return all(
            key in self._hosts and self._hosts[key].is_final(window)
            for key in running.union(listed)
        )

    def covers(self, window: int) -> bool:
        """Return whether any host counted in a window.

        Otherwise all hosts have started later, and what ran in the window
        before is not known.
        """
        return any(host.since <= window for host in self._hosts.values())

    def total(self, window: int) -> Counts:
        """Return the sum of the counts of a window."""
        total: collections.Counter[ids.WorkspaceId] = collections.Counter()
        for host in self._hosts.values():
            total.update(host.windows.get(window, {}))
        return dict(sorted(total.items()))

    def discard_through(self, window: int) -> None:
        """Discard the counts up to a window, and hosts without any later."""
        for key, host in list(self._hosts.items()):
            for old in [w for w in host.windows if w <= window]:
                del host.windows[old]
            host.missing = {w for w in host.missing if w > window}
            if host.final <= window and not host.windows:
                del self._hosts[key]


def _counts(row: typing.Any) -> Counts | None:
    if row is None:
        return None
    counts: Counts = {}
    for workspace, count in row.items():
        counts[ids.WorkspaceId(workspace)] = integers.bounded(
            count, 0, MAX_COUNT
        )
    return counts
