"""Claims of idempotency keys by compare-and-swap.

A call that may not be repeated is sent only by the host whose token stands
in the key-value service. A claim is never taken over: when its host fails,
whether the call ran stays unknown.
"""

import base64
import collections.abc
import dataclasses
import itertools
import random
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.shared.claims import batch
from corianderloft._internal.shared.claims import records
from corianderloft._internal.shared import interface

ATTEMPTS = 4
RETRY_PAUSE_S = 0.1
LONGEST_PAUSE_S = 5.0
FINISH_WAIT_S = 1.0
IN_PROGRESS_RETRY_S = 1.0
LEASE_BUCKET_S = 600.0
CLAIM_MARGIN_S = 60.0
MAX_BACKLOG = 4096

HolderAlive = collections.abc.Callable[[ids.HostId, ids.Incarnation], bool]


@dataclasses.dataclass(frozen=True)
class _ClaimLease:
    """A lease that keys of claims are bound to.

    ``ends`` is on trio's clock, counted from before the lease was asked
    for, so the service never ends it earlier.
    """

    lease_id: ids.LeaseId
    renew_at: float
    ends: float


@dataclasses.dataclass(eq=False)
class _Held:
    """A claim of this host.

    ``revision`` is None while it is not known whether the claim stands.
    """

    key: str
    record: records.ClaimRecord
    lease: _ClaimLease
    pending: batch.PendingWrite
    revision: ids.Revision | None = None
    stored: trio.Event = dataclasses.field(default_factory=trio.Event)


class Claims:
    """Claims, answers and releases of one host.

    Parameters
    ----------
    kv : KeyValueClient
        The service.
    host : Host
        This host.
    life : float
        How long an answer is kept, in seconds.
    interval : callable
        Returns the least time between transactions in seconds.
    holder_alive : callable
        Whether a host in one incarnation may still be running its call.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        host: interface.Host,
        life: float,
        interval: collections.abc.Callable[[], float],
        holder_alive: HolderAlive,
        rng: random.Random,
    ) -> None:
        self._kv = kv
        self._host = host
        self._life = life
        self._holder_alive = holder_alive
        self._rng = rng
        self._batcher = batch.WriteBatcher(kv, interval)
        self._numbers = itertools.count(1)
        self._lease: _ClaimLease | None = None
        self._held: dict[str, _Held] = {}
        self._finished: dict[str, _Held] = {}
        self._orphans: list[_Held] = []
        self._work = trio.Event()

    async def run(self) -> None:
        """Send claims, and store answers and releases, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batcher.run)
            nursery.start_soon(self._run_backlog)

    async def claim(
        self,
        workspace: ids.WorkspaceId,
        service: ids.ServiceName,
        key: ids.IdempotencyKey,
        body_hash: str,
    ) -> interface.ClaimResult:
        """Claim the only run of a call; see `interface.SharedState`."""
        kv_key = records.claim_key(workspace, service, key)
        known = self._finished.get(kv_key)
        if known:
            return self._judge(known.record, body_hash)
        lease = await self._current_lease()
        if lease is None:
            return _unavailable('no lease for the claim was granted')
        held = self._new_claim(kv_key, body_hash, lease)
        try:
            result = await self._settle(held, body_hash)
        except trio.Cancelled:
            self._abandon(held)
            raise
        if isinstance(result, interface.Claimed):
            self._held[result.token] = held
        return result

    async def finish(
        self,
        claimed: interface.Claimed,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        """Keep the answer; waits for the service no longer than a second."""
        held = self._held.pop(claimed.token, None)
        if held is None:
            return
        held.record = held.record.finished(status, content_type, body)
        if len(self._finished) >= MAX_BACKLOG:
            self._finished.pop(next(iter(self._finished)))
        self._finished[held.key] = held
        self._work.set()
        with trio.move_on_after(FINISH_WAIT_S):
            await held.stored.wait()

    async def release(self, claimed: interface.Claimed) -> None:
        """Give a claim back whose call certainly did not run."""
        held = self._held.pop(claimed.token, None)
        if held is None:
            return
        self._add_orphan(held)
        with trio.move_on_after(FINISH_WAIT_S):
            await held.stored.wait()

    def _new_claim(
        self, kv_key: str, body_hash: str, lease: _ClaimLease
    ) -> _Held:
        host = self._host
        token = f'{host.host_id}/{host.incarnation}/{next(self._numbers)}'
        record = records.ClaimRecord(
            token, host.host_id, host.incarnation, body_hash
        )
        pending = self._submit(kv_key, record, lease)
        return _Held(kv_key, record, lease, pending)

    def _submit(
        self, kv_key: str, record: records.ClaimRecord, lease: _ClaimLease
    ) -> batch.PendingWrite:
        return self._batcher.submit(
            kv_interface.Compare(kv_key, ids.Revision(0)),
            kv_interface.Put(
                kv_key, records.RECORD.dump_json(record), lease.lease_id
            ),
        )

    async def _settle(
        self, held: _Held, body_hash: str
    ) -> interface.ClaimResult:
        """Wait for the claim; a lost reply is settled by trying again.

        Trying again writes the same token, so a first write that took
        effect after all is recognized as this host's own.
        """
        doubtful = False
        for attempt in range(ATTEMPTS):
            if attempt:
                await trio.sleep(self._rng.uniform(0, RETRY_PAUSE_S))
                held.pending = self._submit(held.key, held.record, held.lease)
            await held.pending.done.wait()
            outcome = held.pending.outcome
            if isinstance(outcome, kv_interface.Written):
                held.revision = outcome.revision
                return _claimed(held)
            if isinstance(outcome, kv_interface.Conflict) and outcome.items:
                result = self._lost_to(held, outcome.items[0], body_hash)
                if doubtful and not isinstance(result, interface.Claimed):
                    self._abandon(held)
                return result
            if isinstance(outcome, kv_interface.Unknown):
                doubtful = True
            elif isinstance(outcome, kv_interface.Unavailable):
                self._lease = None
                if not doubtful:
                    return _unavailable(outcome.detail)
        if doubtful:
            self._abandon(held)
        return _unavailable('the reply to the claim was lost')

    def _lost_to(
        self,
        held: _Held,
        item: kv_interface.KeyValue,
        body_hash: str,
    ) -> interface.ClaimResult:
        standing = records.RECORD.validate_json(item.value)
        if standing.token == held.record.token:
            held.revision = item.mod_revision
            return _claimed(held)
        return self._judge(standing, body_hash)

    def _judge(
        self, record: records.ClaimRecord, body_hash: str
    ) -> interface.AlreadyDone | requests.Refused:
        """Answer for a key that another claim holds."""
        if record.body_hash != body_hash:
            return requests.Refused(
                reasons.RefusalReason.KEY_REUSED,
                states.RunState.NOT_RUN,
                'the idempotency key was used with another body',
            )
        if record.state is records.ClaimState.DONE:
            return _answer(record)
        if self._holder_alive(record.host_id, record.incarnation):
            return requests.Refused(
                reasons.RefusalReason.CLAIM_IN_PROGRESS,
                states.RunState.UNKNOWN,
                f'the call is in progress at host {record.host_id}',
                IN_PROGRESS_RETRY_S,
            )
        return requests.Refused(
            reasons.RefusalReason.OUTCOME_UNKNOWN,
            states.RunState.UNKNOWN,
            f'host {record.host_id} failed while it ran the call',
        )

    async def _current_lease(self) -> _ClaimLease | None:
        """Return the lease that bounds the life of new claims."""
        now = trio.current_time()
        lease = self._lease
        if lease and now < lease.renew_at:
            return lease
        granted = await self._kv.grant_lease(self._life + LEASE_BUCKET_S)
        if not isinstance(granted, kv_interface.LeaseGranted):
            return None
        self._lease = _ClaimLease(
            granted.lease_id, now + LEASE_BUCKET_S, now + granted.ttl
        )
        return self._lease

    def _abandon(self, held: _Held) -> None:
        held.pending.abandoned = True
        self._add_orphan(held)

    def _add_orphan(self, held: _Held) -> None:
        if len(self._orphans) < MAX_BACKLOG:
            self._orphans.append(held)
        self._work.set()

    async def _run_backlog(self) -> typing.NoReturn:
        pause = RETRY_PAUSE_S
        while True:
            await self._work.wait()
            self._work = trio.Event()
            await self._store_answers()
            await self._remove_orphans()
            if not self._finished and not self._orphans:
                pause = RETRY_PAUSE_S
                continue
            self._work.set()
            await trio.sleep(self._rng.uniform(0, pause))
            pause = min(LONGEST_PAUSE_S, pause * 2)

    async def _store_answers(self) -> None:
        waiting = list(self._finished.items())
        writes = [
            self._batcher.submit(
                kv_interface.Compare(key, held.revision or ids.Revision(0)),
                kv_interface.Put(
                    key,
                    records.RECORD.dump_json(held.record),
                    held.lease.lease_id,
                ),
            )
            for key, held in waiting
        ]
        for (key, held), pending in zip(waiting, writes, strict=True):
            await pending.done.wait()
            stored = isinstance(
                pending.outcome,
                kv_interface.Written | kv_interface.Conflict,
            )
            if stored or trio.current_time() > held.lease.ends:
                self._finished.pop(key, None)
                held.stored.set()

    async def _remove_orphans(self) -> None:
        for held in list(self._orphans):
            await held.pending.done.wait()
            ended = trio.current_time() > held.lease.ends
            if ended or await self._remove_if_own(held):
                self._orphans.remove(held)
                held.stored.set()

    async def _remove_if_own(self, held: _Held) -> bool:
        """Remove a claim of this host; False when that is not settled yet.

        Whether it stands is asked by a compare: a read may be old.
        """
        standing = await self._kv.transact(
            [kv_interface.Compare(held.key, ids.Revision(0))], []
        )
        if isinstance(standing, kv_interface.Written):
            return True
        if not isinstance(standing, kv_interface.Conflict):
            return False
        for item in standing.items:
            record = records.RECORD.validate_json(item.value)
            if record.token != held.record.token:
                return True
            pending = self._batcher.submit(
                kv_interface.Compare(held.key, item.mod_revision),
                kv_interface.Delete(held.key),
            )
            await pending.done.wait()
            return isinstance(pending.outcome, kv_interface.Written)
        return False


def _claimed(held: _Held) -> interface.Claimed:
    return interface.Claimed(
        held.record.token, held.lease.ends - CLAIM_MARGIN_S
    )


def _answer(
    record: records.ClaimRecord,
) -> interface.AlreadyDone | requests.Refused:
    if not record.body_kept:
        return requests.Refused(
            reasons.RefusalReason.TOO_LARGE,
            states.RunState.RAN,
            f'the call ran with status {record.status};'
            ' its answer was too long to keep',
        )
    return interface.AlreadyDone(
        record.status, record.content_type, base64.b64decode(record.body)
    )


def _unavailable(detail: str) -> requests.Refused:
    return requests.Refused(
        reasons.RefusalReason.CLAIM_UNAVAILABLE,
        states.RunState.NOT_RUN,
        detail,
        IN_PROGRESS_RETRY_S,
    )
