"""Decisions on usage reports, without a network or a clock.

A `Tenure` lasts as long as one fencing token. It decides which windows are
reported or missed, and what must be in the store before they are sent.
"""

import collections.abc
import dataclasses
import typing

import orjson

from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.gateway.duties import usage
from corianderloft._internal.kv import eras
from corianderloft._internal.models import ids
from corianderloft._internal.utils import integers

LAST_MOMENT_S = 3.0
LAST_MOMENT_FRACTION = 0.3
"""Time before a report is due at which it is made although counts are missing:
the shorter of a fixed time, which allows two repeats, and a fraction of the
time until it is due."""

RETRY_INTERVAL_S = 1.0
"""Interval between calls for the same window."""


@dataclasses.dataclass(frozen=True)
class Timing:
    """Times of windows, in seconds since 1970.

    Attributes
    ----------
    window : float
        Length of a window in seconds.
    delay : float
        Time after the end of a window in which its report is due.
    """

    window: float
    delay: float

    def end(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.window

    def last_moment(self, window: int) -> float:
        """Return when a window is reported although counts are missing."""
        margin = min(LAST_MOMENT_S, LAST_MOMENT_FRACTION * self.delay)
        return self.end(window) + self.delay - margin

    def is_overdue(self, window: int, now: float) -> bool:
        """Return whether a report would be late by more than a window."""
        return now > self.end(window) + self.delay + self.window

    def oldest(self, now: float) -> int:
        """Return the oldest window that is not overdue."""
        return int((now - self.delay - self.window) // self.window)

    def ending_after(self, at: float) -> int:
        """Return the first window that ends after a time."""
        return int(at // self.window)


@dataclasses.dataclass(frozen=True)
class Record:
    """What the store holds of the reports.

    Attributes
    ----------
    token : FencingNumber
        Fencing token of the holder that wrote it.
    through : int
        Last window that was decided; none after it was sent.
    reports : mapping of int to Counts
        Counts of the last windows, which may have been sent.
    """

    token: ids.FencingNumber
    through: int
    reports: collections.abc.Mapping[int, usage.Counts]


def encode(record: Record) -> bytes:
    """Encode a record as a value in the store."""
    return orjson.dumps(
        {
            'token': record.token,
            'through': record.through,
            'reports': sorted(record.reports.items()),
        }
    )


def decode(value: bytes) -> Record | None:
    """Return the record in a value; None if it is malformed."""
    try:
        fields = orjson.loads(value)
        return Record(
            ids.FencingNumber(
                integers.bounded(fields['token'], 0, (1 << 63) - 1)
            ),
            integers.bounded(fields['through'], 0),
            {
                integers.bounded(window, 0): {
                    ids.WorkspaceId(workspace): integers.bounded(count, 0)
                    for workspace, count in counts.items()
                }
                for window, counts in fields['reports']
            },
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


@dataclasses.dataclass(frozen=True)
class Missed:
    """Windows that are not reported.

    Attributes
    ----------
    first, last : int
        The windows.
    reason : str
        The cause, for the log.
    """

    first: int
    last: int
    reason: str


@dataclasses.dataclass
class _Report:
    """A window whose counts no longer change.

    Attributes
    ----------
    counts : Counts
        The counts.
    recorded : bool
        Whether the store holds them.
    accepted : bool
        Whether the platform accepted them.
    calls : int
        Calls so far.
    next_call_at : float
        Time of the next call.
    """

    counts: usage.Counts
    recorded: bool = False
    accepted: bool = False
    calls: int = 0
    next_call_at: float = 0.0


class Table(typing.Protocol):
    """Counts of all hosts; see `usage.UsageTable`."""

    def covers(self, window: int) -> bool:
        """Return whether any host counted in a window."""

    def total(self, window: int) -> usage.Counts:
        """Return the sum of the counts of a window."""


class Tenure:
    """The reports of one holder of the lease.

    Parameters
    ----------
    token : FencingNumber
        Its fencing token.
    taken_at : float
        When it acquired the lease, in seconds since 1970.
    record : Record or None
        What the store holds, read when no earlier holder could act any more.
    revision : Revision
        Revision of the record; 0 if there is none.
    timing : Timing
        Times of windows.
    now : float
        Current time, in seconds since 1970.

    Attributes
    ----------
    missed : list of Missed
        Windows that were missed, until `take_missed` is called.
    has_written : bool
        Whether the store has held a record of this tenure.
    """

    def __init__(
        self,
        token: ids.FencingNumber,
        taken_at: float,
        record: Record | None,
        revision: ids.Revision,
        timing: Timing,
        now: float,
    ) -> None:
        self.token = token
        self.revision = revision
        self.has_written = False
        self._timing = timing
        self._reports: dict[int, _Report] = {}
        self._missed: list[Missed] = []
        self._next = timing.oldest(now)
        self._is_first = False
        self._take_over(record, taken_at)

    def _take_over(self, record: Record | None, taken_at: float) -> None:
        """Continue after the record of the former holder, if it is complete.

        If the store came back from a copy since the record was written, later
        records may be lost. The former holder may then have reported any
        window that had ended when the lease was acquired, but none that ended
        after that: it writes a record before it reports a window, and learns
        from the reply that the store came back.
        """
        era = eras.era_of(ids.Revision(self.token))
        if record and eras.era_of(ids.Revision(record.token)) == era:
            for window, counts in record.reports.items():
                if window >= self._next:
                    self._reports[window] = _Report(dict(counts), True)
            self._skip(record.through + 1, self._next, 'no holder in time')
            self._next = max(self._next, record.through + 1)
        elif record or era > 0:
            first = self._timing.ending_after(taken_at)
            known = record.through + 1 if record else self._next
            reason = 'may have been reported before the store was restored'
            self._skip(max(known, self._next), first, reason)
            self._next = max(self._next, first)
        else:
            self._is_first = True

    def _skip(self, first: int, end: int, reason: str) -> None:
        if first < end:
            self._missed.append(Missed(first, end - 1, reason))

    def take_missed(self) -> list[Missed]:
        """Return the windows missed since the last call."""
        missed, self._missed = self._missed, []
        return missed

    def decide(
        self,
        now: float,
        is_final: collections.abc.Callable[[int], bool],
        table: Table,
    ) -> None:
        """Fix the counts of windows that are complete or soon due.

        Parameters
        ----------
        now : float
            Current time, in seconds since 1970.
        is_final : callable
            Returns whether all hosts have completed their counts of a window.
        table : Table
            Counts of all hosts.
        """
        while self._timing.end(self._next) <= now:
            window = self._next
            if self._timing.is_overdue(window, now):
                self._skip(window, window + 1, 'overdue')
            elif not table.covers(window):
                if not self._is_first:
                    self._skip(window, window + 1, 'all hosts started later')
            elif is_final(window) or now >= self._timing.last_moment(window):
                self._reports[window] = _Report(table.total(window))
            else:
                return
            self._next += 1

    def discard_overdue(self, now: float) -> None:
        """Give up reports that are late by more than a window."""
        for window, report in list(self._reports.items()):
            if self._timing.is_overdue(window, now):
                del self._reports[window]
                if not report.accepted:
                    reason = 'not accepted' if report.calls else 'not recorded'
                    self._skip(window, window + 1, reason)

    def record_to_write(self) -> Record | None:
        """Return the record that must be in the store before a next call.

        Returns None if the store holds all that is to be sent.
        """
        if all(report.recorded for report in self._reports.values()):
            return None
        open_reports = {
            window: report.counts
            for window, report in self._reports.items()
            if not report.accepted
        }
        return Record(self.token, self._next - 1, open_reports)

    def set_recorded(self, record: Record, revision: ids.Revision) -> None:
        """Note that the store holds a record of this tenure."""
        self.revision = revision
        self.has_written = True
        for window in record.reports:
            if window in self._reports:
                self._reports[window].recorded = True

    def next_call(self, now: float) -> tuple[int, usage.Counts] | None:
        """Return the window to report now, with its counts, or None."""
        for window, report in sorted(self._reports.items()):
            is_due = report.recorded and report.next_call_at <= now
            if is_due and not report.accepted:
                return window, report.counts
        return None

    def begin_call(self, window: int, now: float) -> bool:
        """Note a call; return whether it repeats an earlier one."""
        report = self._reports[window]
        report.calls += 1
        report.next_call_at = now + RETRY_INTERVAL_S
        return report.calls > 1

    def end_call(self, window: int, outcome: interface.UsageOutcome) -> None:
        """Note the outcome of a call."""
        if isinstance(outcome, interface.Accepted):
            self._reports[window].accepted = True
