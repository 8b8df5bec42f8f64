"""Reports the usage of workspaces to the platform while the lease is held.

Before a window is reported, the store holds its counts, so that a next holder
can only repeat them exactly.
"""

import collections.abc
import logging
import random
import typing

import trio

from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.gateway.duties import true_time
from corianderloft._internal.gateway.duties import usage
from corianderloft._internal.gateway.duties import usage_tenure
from corianderloft._internal.gateway import metrics
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.25
"""Interval between decisions; a report has some seconds."""

STORE_RETRY_S = 0.5
"""Time after a failed call to the store."""

RECORD_NAME = 'usage'


class UsageReports(listener.Listener):
    """Reports each window once while this host holds the lease.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    prefix : str
        Key prefix of all that concerns duties.
    duties : DutyLease
        The lease.
    api : PlatformApi
        The platform's API.
    table : UsageTable
        Counts of all hosts.
    time_of_day : TrueTime
        Time of day.
    timing : Timing
        Times of windows.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        prefix: str,
        duties: interface.DutyLease,
        api: interface.PlatformApi,
        table: usage.UsageTable,
        time_of_day: true_time.TrueTime,
        timing: usage_tenure.Timing,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._key = prefix + RECORD_NAME
        self._duties = duties
        self._api = api
        self._table = table
        self._time = time_of_day
        self._timing = timing
        self._rng = rng
        self._members: list[tuple[ids.HostId, str]] = []
        self._tenure: usage_tenure.Tenure | None = None
        # A write whose reply was lost, until the store was read again.
        self._unresolved: usage_tenure.Record | None = None
        self._store_failing = False

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Use a new list of entry hosts."""
        self._members = [(member.host_id, member.start) for member in current]

    async def run(self) -> typing.NoReturn:
        """Report windows until cancelled."""
        while True:
            delay = STEP_INTERVAL_S
            if not await self.step():
                delay = STORE_RETRY_S
            await trio.sleep(self._rng.uniform(0.8, 1.2) * delay)

    async def step(self) -> bool:
        """Do what is to be done now; return False if the store failed."""
        oldest = self._timing.oldest(self._time.now())
        self._table.discard_through(oldest - 1)
        held = self._held()
        if held is None:
            return True
        if self._tenure is None or self._tenure.token != held.token:
            self._unresolved = None
            self._tenure = await self._take_over(held)
        tenure = self._tenure
        if tenure is None:
            return False
        now = self._time.now()
        tenure.decide(now, self._is_final, self._table)
        tenure.discard_overdue(now)
        self._log_missed(tenure)
        if not await self._write_record(tenure):
            return False
        await self._call(tenure)
        return True

    def _held(self) -> interface.Held | None:
        return self._duties.current(interface.CALL_TIMEOUT_S)

    def _is_final(self, window: int) -> bool:
        return self._table.is_final(window, self._members, clock.now())

    async def _take_over(
        self, held: interface.Held
    ) -> usage_tenure.Tenure | None:
        """Read the record of the former holder; None if the store failed."""
        found = await self._read()
        if found is None:
            return None
        record, revision = found
        taken_at = held.acts_from if held.taken_at is None else held.taken_at
        tenure = usage_tenure.Tenure(
            held.token,
            taken_at + self._time.offset,
            record,
            revision,
            self._timing,
            self._time.now(),
        )
        logger.info(
            'usage reports taken over',
            extra={
                'token': held.token,
                'former_token': record.token if record else None,
                'through': record.through if record else None,
            },
        )
        return tenure

    async def _read(
        self,
    ) -> tuple[usage_tenure.Record | None, ids.Revision] | None:
        found = await self._store.get(self._key)
        if isinstance(found, kv.Unavailable):
            self._note_store(found.detail)
            return None
        self._note_store(None)
        for item in found.items:
            record = usage_tenure.decode(item.value)
            if record is None:
                logger.error(
                    'record of usage reports ignored: it cannot be read',
                    extra={'key': self._key},
                )
                # Nothing is known of earlier reports, as after a restore.
                record = usage_tenure.Record(ids.FencingNumber(-1), 0, {})
            return record, item.mod_revision
        return None, ids.Revision(0)

    async def _write_record(self, tenure: usage_tenure.Tenure) -> bool:
        """Write what is to be sent; return False if the store failed."""
        if self._unresolved is not None:
            return await self._resolve(tenure, self._unresolved)
        record = tenure.record_to_write()
        if record is None or not self._still_holds(tenure):
            return True
        written = await self._store.transact(
            [kv.Compare(self._key, tenure.revision)],
            [kv.Put(self._key, usage_tenure.encode(record))],
        )
        match written:
            case kv.Written(revision):
                self._note_store(None)
                tenure.set_recorded(record, revision)
                return True
            case kv.Unavailable(detail):
                self._note_store(detail)
                return False
            case kv.Unknown(detail):
                self._note_store(detail)
        self._unresolved = record
        return await self._resolve(tenure, record)

    async def _resolve(
        self, tenure: usage_tenure.Tenure, record: usage_tenure.Record
    ) -> bool:
        """Read whether a write took effect that was not acknowledged.

        A write of the former holder may be executed late. It was not sent,
        since its holder did not learn that it took effect. If it precedes the
        first write of this tenure, the record is taken over as it is then.
        """
        found = await self._read()
        if found is None:
            return False
        self._unresolved = None
        stored, revision = found
        if stored == record:
            tenure.set_recorded(record, revision)
        elif tenure.has_written or stored is None:
            tenure.revision = revision
        else:
            self._tenure = None
        return True

    def _still_holds(self, tenure: usage_tenure.Tenure) -> bool:
        held = self._held()
        return held is not None and held.token == tenure.token

    async def _call(self, tenure: usage_tenure.Tenure) -> None:
        while call := tenure.next_call(clock.now()):
            held = self._held()
            if held is None or held.token != tenure.token:
                return
            window, counts = call
            repeats = tenure.begin_call(window, clock.now())
            outcome = await self._api.report_usage(window, counts, held)
            tenure.end_call(window, outcome)
            self._log_call(window, counts, repeats, outcome)

    def _log_call(
        self,
        window: int,
        counts: usage.Counts,
        repeats: bool,
        outcome: interface.UsageOutcome,
    ) -> None:
        metrics.count_usage_report('repeated' if repeats else 'sent')
        late_s = self._time.now() - self._timing.end(window)
        fields = {
            'window': window,
            'workspaces': len(counts),
            'requests': sum(counts.values()),
            'after_s': round(late_s, 2),
            'repeated': repeats,
        }
        if isinstance(outcome, interface.Accepted):
            logger.info('usage reported', extra=fields)
        else:
            metrics.count_usage_report('failed')
            logger.warning(
                'usage report failed', extra=fields | {'cause': str(outcome)}
            )

    def _log_missed(self, tenure: usage_tenure.Tenure) -> None:
        for missed in tenure.take_missed():
            for _ in range(missed.first, missed.last + 1):
                metrics.count_usage_report('missed')
            logger.warning(
                'usage windows not reported',
                extra={
                    'first': missed.first,
                    'last': missed.last,
                    'cause': missed.reason,
                },
            )

    def _note_store(self, failure: str | None) -> None:
        if failure is not None and not self._store_failing:
            logger.warning(
                'usage reports wait for the store', extra={'cause': failure}
            )
        self._store_failing = failure is not None
