"""Prompt parts on which backend servers crash.

A backend server that crashes takes along all of its requests, and only one of
them may be the cause. Each crash is counted against the shared prompt parts
of the requests whose response had not begun; a complete response clears its
parts. Requests with a part that has crashed several servers and was part of
no complete response since then are quarantined, which is to say refused.

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
from corianderloft._internal.models import instances

logger = logging.getLogger(__name__)

CRASHES_TO_QUARANTINE = 3
"""Crashed servers, without a complete response since, after which requests
with a part are refused. Two may fail at once for a reason of their own."""

CRASHES_TO_STOP_RETRIES = 2
"""Crashed servers after which a request with a part is not sent again."""

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

MAX_RECORDS = 1024
"""Parts with crashes that are kept; the oldest are dropped."""

MAX_COMPLETE_PARTS = 8192
"""Parts of complete responses that are remembered."""

MAX_CRASHES_PER_PART = 20
"""Crashes that are kept for each part."""


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """Requests with a part are held until it has settled, then refused.

    Attributes
    ----------
    part_id : PromptPartId
        The part.
    settled_at, until : float
        When requests are refused from, and until, on trio's clock.
    """

    part_id: ids.PromptPartId
    settled_at: float
    until: float


class _Record:
    """Evidence against one part; times are on trio's clock."""

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
        self._records: dict[ids.PromptPartId, _Record] = {}
        self._completed_at: collections.OrderedDict[
            ids.PromptPartId, float
        ] = collections.OrderedDict()
        self._on_change: collections.abc.Callable[[ids.PromptPartId], None] = (
            _do_nothing
        )
        self._cleared: list[ids.PromptPartId] = []
        self._record_changed = trio.Event()

    def set_change_listener(
        self, changed: collections.abc.Callable[[ids.PromptPartId], None]
    ) -> None:
        """Set the function called when this host adds evidence on a part."""
        self._on_change = changed

    def record_crash(
        self, prompt: instances.Prompt, server: crashes.ServerRun, now: float
    ) -> None:
        """Record that a server crashed before it responded to a request."""
        for part in prompt.shared_parts:
            if self._is_recent(part.part_id, now):
                continue
            record = self._record(part.part_id)
            if len(record.crashed) < MAX_CRASHES_PER_PART:
                record.seen_here = True
                crashed = record.crashed | {server}
                self._update(part.part_id, crashed, record.cleared, now)
                self._on_change(part.part_id)

    def record_complete(self, prompt: instances.Prompt, now: float) -> None:
        """Record a complete response."""
        for part in prompt.shared_parts:
            self._completed_at[part.part_id] = now
            self._completed_at.move_to_end(part.part_id)
            self._clear(part.part_id, now)
        while len(self._completed_at) > MAX_COMPLETE_PARTS:
            self._completed_at.popitem(last=False)

    def merge(self, report: crashes.CrashReport, now: float) -> bool:
        """Add the evidence of another host; return whether any is new."""
        record = self._records.get(report.part_id)
        if record is not None and (
            report.crashed <= record.crashed
            and report.cleared <= record.cleared
        ):
            return False
        record = self._record(report.part_id)
        self._update(
            report.part_id,
            record.crashed | report.crashed,
            record.cleared | report.cleared,
            now,
        )
        if self._is_recent(report.part_id, now):
            self._clear(report.part_id, now)
        return True

    def quarantine(
        self, prompt: instances.Prompt | None, now: float
    ) -> Quarantine | None:
        """Return the quarantine that a request falls under, if any.

        Parts with the same crashes cannot be told apart: a request falls
        under the quarantine only if it has all of them. A part whose crashes
        are all explained by another harmful part is not held responsible.
        """
        if not self._records or prompt is None:
            return None
        own = {part.part_id for part in prompt.shared_parts}
        for part_id in own:
            if not self._is_harmful(part_id, now):
                continue
            record = self._records[part_id]
            others = [
                (other, found.open)
                for other, found in self._records.items()
                if found.open >= record.open and self._is_harmful(other, now)
            ]
            if any(crashed > record.open for _, crashed in others):
                continue
            if own.issuperset(other for other, _ in others):
                assert record.settled_at is not None
                return Quarantine(
                    part_id, record.settled_at, record.quarantined_until
                )
        return None

    def stops_retries(self, prompt: instances.Prompt | None) -> bool:
        """Return whether a request may crash the next server as well."""
        return prompt is not None and any(
            len(record.open) >= CRASHES_TO_STOP_RETRIES
            for part in prompt.shared_parts
            if (record := self._records.get(part.part_id)) is not None
        )

    def report(self, part_id: ids.PromptPartId) -> crashes.CrashReport | None:
        """Return the evidence on a part."""
        record = self._records.get(part_id)
        if record is None:
            return None
        return crashes.CrashReport(part_id, record.crashed, record.cleared)

    def harmful_parts(self, now: float) -> list[ids.PromptPartId]:
        """Return the parts whose requests are refused, oldest first."""
        return [
            part_id
            for part_id in self._records
            if self._is_harmful(part_id, now)
        ]

    def parts_to_repeat(self, now: float) -> list[ids.PromptPartId]:
        """Return the parts that other hosts may not know of, newest last.

        These are parts whose requests are refused, and those whose evidence
        has changed lately: a crash that only one host knows of brings no part
        closer to being refused.
        """
        parts = [
            (record.changed_at, part_id)
            for part_id, record in self._records.items()
            if record.changed_at > now - REPEAT_S
            or self._is_harmful(part_id, now)
        ]
        return [part_id for _, part_id in sorted(parts)]

    async def wait_for_record_change(self) -> None:
        """Wait until this host finds or clears a harmful part."""
        await self._record_changed.wait()
        self._record_changed = trio.Event()

    def take_cleared(self) -> list[ids.PromptPartId]:
        """Return the parts in the store that this host has cleared."""
        taken, self._cleared = self._cleared, []
        return taken

    def take_unstored(self, now: float) -> list[crashes.CrashReport]:
        """Return harmful parts that the store lacks, found by this host."""
        found = [
            part_id
            for part_id in self.harmful_parts(now)
            if self._records[part_id].seen_here
            and not self._records[part_id].stored
        ]
        for part_id in found:
            self._records[part_id].stored = True
        return [
            crashes.CrashReport(
                part_id,
                self._records[part_id].crashed,
                self._records[part_id].cleared,
            )
            for part_id in found
        ]

    def stored_reports(self, now: float) -> list[crashes.CrashReport]:
        """Return the harmful parts that the store held or is to hold."""
        return [
            crashes.CrashReport(part_id, record.crashed, record.cleared)
            for part_id, record in self._records.items()
            if self._is_harmful(part_id, now)
            and (record.stored or record.seen_here)
        ]

    def cleared_parts(self) -> list[ids.PromptPartId]:
        """Return the parts whose crashes are all cleared."""
        return [
            part_id
            for part_id, record in self._records.items()
            if record.crashed and not record.open
        ]

    def merge_stored(self, report: crashes.CrashReport, now: float) -> None:
        """Add evidence from the store."""
        self.merge(report, now)
        record = self._record(report.part_id)
        record.stored = True
        if record.settled_at is not None:
            # It had settled when it was stored.
            record.settled_at = now

    def _is_harmful(self, part_id: ids.PromptPartId, now: float) -> bool:
        record = self._records.get(part_id)
        return (
            record is not None
            and record.settled_at is not None
            and now < record.quarantined_until
        )

    def _is_recent(self, part_id: ids.PromptPartId, now: float) -> bool:
        completed_at = self._completed_at.get(part_id, float('-inf'))
        return now - completed_at < RECENT_RESPONSE_S

    def _record(self, part_id: ids.PromptPartId) -> _Record:
        record = self._records.get(part_id)
        if record is None:
            while len(self._records) >= MAX_RECORDS:
                self._drop_oldest()
            record = self._records[part_id] = _Record()
        return record

    def _drop_oldest(self) -> None:
        harmless = (
            part_id
            for part_id, record in self._records.items()
            if record.settled_at is None
        )
        del self._records[next(harmless, next(iter(self._records)))]

    def _clear(self, part_id: ids.PromptPartId, now: float) -> None:
        record = self._records.get(part_id)
        if record is None or not record.open:
            return
        self._update(part_id, record.crashed, record.crashed, now)
        self._on_change(part_id)
        if record.stored:
            record.stored = False
            self._cleared.append(part_id)
            self._record_changed.set()

    def _update(
        self,
        part_id: ids.PromptPartId,
        crashed: frozenset[crashes.ServerRun],
        cleared: frozenset[crashes.ServerRun],
        now: float,
    ) -> None:
        record = self._records[part_id]
        if crashed - record.crashed - cleared:
            record.last_crash_at = now
        if (crashed, cleared) != (record.crashed, record.cleared):
            record.changed_at = now
        record.crashed, record.cleared = crashed, cleared
        harmful = len(record.open) >= CRASHES_TO_QUARANTINE
        if harmful and record.settled_at is None:
            record.settled_at = now + SETTLE_S
            _log_harmful(part_id, record)
            if record.seen_here:
                self._record_changed.set()
        elif not harmful and record.settled_at is not None:
            record.settled_at = None
            logger.info('prompt part cleared', extra={'part': part_id})


def _log_harmful(part_id: ids.PromptPartId, record: _Record) -> None:
    logger.warning(
        'prompt part crashes backend servers',
        extra={
            'part': part_id,
            'engines': sorted(engine_id for engine_id, _ in record.open),
            'quarantine_s': record.quarantine_s,
        },
    )


def _do_nothing(part_id: ids.PromptPartId) -> None:
    """Do nothing."""
