"""Prompt parts and whole requests on which backend servers crash.

A backend server that crashes takes along all of its requests, and only one of
them may be the cause. Each crash is counted against these requests, and
against the shared prompt parts of those whose response had not begun; a
complete response clears its request and its parts. A part or request that has
crashed several servers, with no complete response since then, is quarantined,
which is to say refused.

The evidence of several hosts is merged by set union, so reports may arrive
more than once and in any order.
"""

import collections
import collections.abc
import dataclasses
import logging

import trio

from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

CRASHES_TO_QUARANTINE = 3
"""Crashed servers, without a complete response since, after which a request
or those with a part are refused. Two may fail at once for a reason of their
own."""

CRASHES_TO_STOP_RETRIES = 2
"""Crashed servers after which a request, or one with a part, is not sent
again."""

SETTLE_S = 0.6
"""Time for other hosts to report complete responses, during which requests
are held; longer than the interval between their datagrams."""

RECENT_RESPONSE_S = 10.0
"""Age up to which a complete response outweighs a crash that is reported
later. A part that begins to crash servers is noticed after this time."""

REPEAT_S = 30.0
"""Time for which evidence is repeated to other hosts. A host that has just
started knows of no others, and they do not know of it."""

QUARANTINE_S_PER_CRASH = 30.0
MAX_QUARANTINE_S = 600.0
"""Duration of a quarantine since the last crash. It grows with the crashes,
since the first requests after its end may crash a server each."""

MAX_RECORDS = 4096
"""Suspects that are kept; those that changed first are dropped. A server that
crashes leaves one for each request that it was running."""

MAX_COMPLETE = 8192
"""Parts, and requests, of complete responses that are remembered."""

MAX_CRASHES_PER_SUSPECT = 20
"""Crashes that are kept for each suspect."""


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """A request is held until its quarantine has settled, then refused.

    Attributes
    ----------
    suspect_id : SuspectId
        The part or request that crashes servers.
    settled_at, until : float
        When requests are refused from, and until, on trio's clock.
    """

    suspect_id: ids.SuspectId
    settled_at: float
    until: float


class _Record:
    """Evidence against one suspect; times are on trio's clock."""

    def __init__(self) -> None:
        self.crashed: frozenset[crashes.ServerRun] = frozenset()
        self.cleared: frozenset[crashes.ServerRun] = frozenset()
        self.last_crash_at = 0.0
        self.changed_at = 0.0
        self.settled_at: float | None = None
        self.seen_here = False
        self.stored = False

    @property
    def open(self) -> frozenset[crashes.ServerRun]:
        """Crashes without a complete response since."""
        return self.crashed - self.cleared

    @property
    def quarantine_s(self) -> float:
        """Duration of the quarantine since the last crash."""
        return min(MAX_QUARANTINE_S, QUARANTINE_S_PER_CRASH * len(self.open))

    @property
    def quarantined_until(self) -> float:
        """End of the quarantine."""
        return self.last_crash_at + self.quarantine_s


class CrashEvidence:
    """Evidence of all hosts, as known to this one."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[ids.SuspectId, _Record] = (
            collections.OrderedDict()
        )
        # Requests must not displace the parts, which are far fewer.
        self._parts_completed = _Completions()
        self._requests_completed = _Completions()
        self._on_change: collections.abc.Callable[[ids.SuspectId], None] = (
            _do_nothing
        )
        self._cleared: list[ids.SuspectId] = []
        self._record_changed = trio.Event()

    def set_change_listener(
        self, changed: collections.abc.Callable[[ids.SuspectId], None]
    ) -> None:
        """Set the function called when this host adds evidence."""
        self._on_change = changed

    def record_crash(
        self,
        suspects: crashes.Suspects,
        server: crashes.ServerRun,
        now: float,
        responded: bool = False,
    ) -> None:
        """Record that a server crashed with a request.

        Parameters
        ----------
        suspects : Suspects
            What may be the cause.
        server : ServerRun
            The server.
        now : float
            Current time, on trio's clock, in seconds.
        responded : bool
            Whether its response had begun: the server had survived the
            prompt then, and only the whole request may be the cause.
        """
        if responded:
            suspects = dataclasses.replace(suspects, parts=())
        for suspect_id in suspects.all:
            if self._is_recent(suspect_id, now):
                continue
            record = self._record(suspect_id)
            if len(record.crashed) < MAX_CRASHES_PER_SUSPECT:
                record.seen_here = True
                crashed = record.crashed | {server}
                self._update(suspect_id, crashed, record.cleared, now)
                self._on_change(suspect_id)

    def record_complete(self, suspects: crashes.Suspects, now: float) -> None:
        """Record a complete response."""
        for suspect_id in suspects.all:
            self._completions(suspect_id).record(suspect_id, now)
            self._clear(suspect_id, now)

    def merge(self, report: crashes.CrashReport, now: float) -> bool:
        """Add the evidence of another host; return whether any is new."""
        record = self._records.get(report.suspect_id)
        if record is not None and (
            report.crashed <= record.crashed
            and report.cleared <= record.cleared
        ):
            return False
        record = self._record(report.suspect_id)
        self._update(
            report.suspect_id,
            record.crashed | report.crashed,
            record.cleared | report.cleared,
            now,
        )
        if self._is_recent(report.suspect_id, now):
            self._clear(report.suspect_id, now)
        return True

    def quarantine(
        self, suspects: crashes.Suspects, now: float
    ) -> Quarantine | None:
        """Return the quarantine that a request falls under, if any.

        Suspects with the same crashes cannot be told apart: a request falls
        under the quarantine of a part only if it has all of them. A part whose
        crashes are all explained by another harmful suspect is not held
        responsible. The quarantine of a whole request concerns no other.
        """
        if not self._records:
            return None
        if suspects.request is not None and self._is_harmful(
            suspects.request, now
        ):
            return self._quarantine_of(suspects.request)
        own = set(suspects.all)
        for suspect_id in suspects.parts:
            if not self._is_harmful(suspect_id, now):
                continue
            record = self._records[suspect_id]
            others = [
                (other, found.open)
                for other, found in self._records.items()
                if found.open >= record.open and self._is_harmful(other, now)
            ]
            if any(crashed > record.open for _, crashed in others):
                continue
            if own.issuperset(other for other, _ in others):
                return self._quarantine_of(suspect_id)
        return None

    def _quarantine_of(self, suspect_id: ids.SuspectId) -> Quarantine:
        record = self._records[suspect_id]
        assert record.settled_at is not None
        return Quarantine(
            suspect_id, record.settled_at, record.quarantined_until
        )

    def stops_retries(self, suspects: crashes.Suspects) -> bool:
        """Return whether a request may crash the next server as well."""
        return any(
            len(record.open) >= CRASHES_TO_STOP_RETRIES
            for suspect_id in suspects.all
            if (record := self._records.get(suspect_id)) is not None
        )

    def report(self, suspect_id: ids.SuspectId) -> crashes.CrashReport | None:
        """Return the evidence on a suspect."""
        record = self._records.get(suspect_id)
        if record is None:
            return None
        return crashes.CrashReport(suspect_id, record.crashed, record.cleared)

    def harmful_suspects(self, now: float) -> list[ids.SuspectId]:
        """Return the suspects that are refused, oldest first."""
        return [
            suspect_id
            for suspect_id in self._records
            if self._is_harmful(suspect_id, now)
        ]

    def suspects_to_repeat(self, now: float) -> list[ids.SuspectId]:
        """Return the suspects that other hosts may not know of.

        These are the ones that are refused, and those whose evidence has
        changed lately: a crash that only one host knows of brings no suspect
        closer to being refused. Those with most crashes come last, and of
        these the newest: each crash has many suspects that never have another.
        """
        found = [
            (len(record.open), record.changed_at, suspect_id)
            for suspect_id, record in self._records.items()
            if record.changed_at > now - REPEAT_S
            or self._is_harmful(suspect_id, now)
        ]
        return [suspect_id for _, _, suspect_id in sorted(found)]

    async def wait_for_record_change(self) -> None:
        """Wait until this host finds or clears a harmful suspect."""
        await self._record_changed.wait()
        self._record_changed = trio.Event()

    def take_cleared(self) -> list[ids.SuspectId]:
        """Return the suspects in the store that this host has cleared."""
        taken, self._cleared = self._cleared, []
        return taken

    def take_unstored(self, now: float) -> list[crashes.CrashReport]:
        """Return harmful suspects that the store lacks, found here."""
        found = [
            suspect_id
            for suspect_id in self.harmful_suspects(now)
            if self._records[suspect_id].seen_here
            and not self._records[suspect_id].stored
        ]
        for suspect_id in found:
            self._records[suspect_id].stored = True
        return [
            crashes.CrashReport(
                suspect_id,
                self._records[suspect_id].crashed,
                self._records[suspect_id].cleared,
            )
            for suspect_id in found
        ]

    def stored_reports(self, now: float) -> list[crashes.CrashReport]:
        """Return the harmful suspects that the store held or is to hold."""
        return [
            crashes.CrashReport(suspect_id, record.crashed, record.cleared)
            for suspect_id, record in self._records.items()
            if self._is_harmful(suspect_id, now)
            and (record.stored or record.seen_here)
        ]

    def cleared_suspects(self) -> list[ids.SuspectId]:
        """Return the suspects whose crashes are all cleared."""
        return [
            suspect_id
            for suspect_id, record in self._records.items()
            if record.crashed and not record.open
        ]

    def merge_stored(self, report: crashes.CrashReport, now: float) -> None:
        """Add evidence from the store."""
        self.merge(report, now)
        record = self._record(report.suspect_id)
        record.stored = True
        if record.settled_at is not None:
            # It had settled when it was stored.
            record.settled_at = now

    def _is_harmful(self, suspect_id: ids.SuspectId, now: float) -> bool:
        record = self._records.get(suspect_id)
        return (
            record is not None
            and record.settled_at is not None
            and now < record.quarantined_until
        )

    def _is_recent(self, suspect_id: ids.SuspectId, now: float) -> bool:
        completed_at = self._completions(suspect_id).last_at(suspect_id)
        return now - completed_at < RECENT_RESPONSE_S

    def _completions(self, suspect_id: ids.SuspectId) -> '_Completions':
        if crashes.is_request(suspect_id):
            return self._requests_completed
        return self._parts_completed

    def _record(self, suspect_id: ids.SuspectId) -> _Record:
        record = self._records.get(suspect_id)
        if record is None:
            while len(self._records) >= MAX_RECORDS:
                self._drop_oldest()
            record = self._records[suspect_id] = _Record()
        return record

    def _drop_oldest(self) -> None:
        harmless = (
            suspect_id
            for suspect_id, record in self._records.items()
            if record.settled_at is None
        )
        del self._records[next(harmless, next(iter(self._records)))]

    def _clear(self, suspect_id: ids.SuspectId, now: float) -> None:
        record = self._records.get(suspect_id)
        if record is None or not record.open:
            return
        self._update(suspect_id, record.crashed, record.crashed, now)
        self._on_change(suspect_id)
        if record.stored:
            record.stored = False
            self._cleared.append(suspect_id)
            self._record_changed.set()

    def _update(
        self,
        suspect_id: ids.SuspectId,
        crashed: frozenset[crashes.ServerRun],
        cleared: frozenset[crashes.ServerRun],
        now: float,
    ) -> None:
        record = self._records[suspect_id]
        if crashed - record.crashed - cleared:
            record.last_crash_at = now
        if (crashed, cleared) != (record.crashed, record.cleared):
            record.changed_at = now
        record.crashed, record.cleared = crashed, cleared
        self._records.move_to_end(suspect_id)
        harmful = len(record.open) >= CRASHES_TO_QUARANTINE
        if harmful and record.settled_at is None:
            record.settled_at = now + SETTLE_S
            _log_harmful(suspect_id, record)
            if record.seen_here:
                self._record_changed.set()
        elif not harmful and record.settled_at is not None:
            record.settled_at = None
            _log_cleared(suspect_id)


class _Completions:
    """When responses with a part, or to a request, were last complete."""

    def __init__(self) -> None:
        self._last_at: collections.OrderedDict[ids.SuspectId, float] = (
            collections.OrderedDict()
        )

    def record(self, suspect_id: ids.SuspectId, now: float) -> None:
        """Record a complete response."""
        self._last_at[suspect_id] = now
        self._last_at.move_to_end(suspect_id)
        if len(self._last_at) > MAX_COMPLETE:
            self._last_at.popitem(last=False)

    def last_at(self, suspect_id: ids.SuspectId) -> float:
        """Return the time of the last one; minus infinity without any."""
        return self._last_at.get(suspect_id, float('-inf'))


def _log_cleared(suspect_id: ids.SuspectId) -> None:
    if crashes.is_request(suspect_id):
        logger.info('request cleared', extra={'request_hash': suspect_id})
    else:
        logger.info('prompt part cleared', extra={'part': suspect_id})


def _log_harmful(suspect_id: ids.SuspectId, record: _Record) -> None:
    is_request = crashes.is_request(suspect_id)
    logger.warning(
        (
            'request crashes backend servers'
            if is_request
            else 'prompt part crashes backend servers'
        ),
        extra={
            'request_hash' if is_request else 'part': suspect_id,
            'engines': sorted(engine_id for engine_id, _ in record.open),
            'quarantine_s': record.quarantine_s,
        },
    )


def _do_nothing(suspect_id: ids.SuspectId) -> None:
    """Do nothing."""
