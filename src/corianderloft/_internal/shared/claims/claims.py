"""Claims of idempotency keys by compare-and-swap.

A non-idempotent call is sent only by the host whose token is stored in the
key-value service. No other host takes over a claim: if the claiming host
fails, it stays unknown whether the call ran.
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

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.1
MAX_BACKOFF_S = 5.0
STORE_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0
LEASE_SHARE_S = 600.0
CLAIM_EXPIRY_MARGIN_S = 60.0
MAX_BACKLOG_CLAIMS = 4096

HolderCheck = collections.abc.Callable[[ids.HostId, ids.Incarnation], bool]


@dataclasses.dataclass(frozen=True)
class _ClaimLease:
    """A lease that the keys of claims are attached to.

    ``expires_at`` is on trio's clock and is computed from the time before
    the lease was requested, so the service never expires it earlier.
    """

    lease_id: ids.LeaseId
    renew_at: float
    expires_at: float


@dataclasses.dataclass(eq=False)
class _HeldClaim:
    """A claim of this host.

    ``revision`` is None until the claim is known to be stored.
    """

    key: str
    record: records.ClaimRecord
    lease: _ClaimLease
    pending: batch.PendingWrite
    revision: ids.Revision | None = None
    stored: trio.Event = dataclasses.field(default_factory=trio.Event)


class Claims:
    """Claims, stored responses and releases of one host.

    Parameters
    ----------
    kv : KeyValueClient
        Client of the key-value service.
    host : Host
        This host.
    ttl : float
        How long a response is kept, in seconds.
    min_interval : callable
        Returns the minimum time between the starts of two batches of writes,
        in seconds.
    holder_alive : callable
        Returns whether the given incarnation of a host may still be running
        its call.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        host: interface.Host,
        ttl: float,
        min_interval: collections.abc.Callable[[], float],
        holder_alive: HolderCheck,
        rng: random.Random,
    ) -> None:
        self._kv = kv
        self._host = host
        self._ttl = ttl
        self._holder_alive = holder_alive
        self._rng = rng
        self._batcher = batch.WriteBatcher(kv, min_interval)
        self._sequence = itertools.count(1)
        self._lease: _ClaimLease | None = None
        self._held: dict[str, _HeldClaim] = {}
        self._unstored: dict[str, _HeldClaim] = {}
        self._orphans: list[_HeldClaim] = []
        self._backlog_changed = trio.Event()

    async def run(self) -> None:
        """Write claims, responses and releases until cancelled."""
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
        """Claim the right to run a call; see `interface.SharedState`."""
        kv_key = records.claim_key(workspace, service, key)
        known = self._unstored.get(kv_key)
        if known:
            return self._result_for(known.record, body_hash)
        lease = await self._current_lease()
        if lease is None:
            return _unavailable('no lease for the claim was granted')
        held = self._new_claim(kv_key, body_hash, lease)
        try:
            result = await self._await_outcome(held, body_hash)
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
        """Store the response of a claimed call.

        Waits at most `STORE_TIMEOUT_S`; the write then goes on in the
        background.
        """
        held = self._held.pop(claimed.token, None)
        if held is None:
            return
        held.record = held.record.with_response(status, content_type, body)
        if len(self._unstored) >= MAX_BACKLOG_CLAIMS:
            self._unstored.pop(next(iter(self._unstored)))
        self._unstored[held.key] = held
        self._backlog_changed.set()
        with trio.move_on_after(STORE_TIMEOUT_S):
            await held.stored.wait()

    async def release(self, claimed: interface.Claimed) -> None:
        """Remove the claim of a call that certainly did not run."""
        held = self._held.pop(claimed.token, None)
        if held is None:
            return
        self._add_orphan(held)
        with trio.move_on_after(STORE_TIMEOUT_S):
            await held.stored.wait()

    def _new_claim(
        self, kv_key: str, body_hash: str, lease: _ClaimLease
    ) -> _HeldClaim:
        host = self._host
        token = f'{host.host_id}/{host.incarnation}/{next(self._sequence)}'
        record = records.ClaimRecord(
            token, host.host_id, host.incarnation, body_hash
        )
        pending = self._submit(kv_key, record, lease)
        return _HeldClaim(kv_key, record, lease, pending)

    def _submit(
        self, kv_key: str, record: records.ClaimRecord, lease: _ClaimLease
    ) -> batch.PendingWrite:
        return self._batcher.submit(
            kv_interface.Compare(kv_key, ids.Revision(0)),
            kv_interface.Put(
                kv_key, records.RECORD.dump_json(record), lease.lease_id
            ),
        )

    async def _await_outcome(
        self, held: _HeldClaim, body_hash: str
    ) -> interface.ClaimResult:
        """Wait for the claim to be written; retry if the reply is lost.

        A retry writes the same token, so a first write that took effect
        after all is recognized as this host's own.
        """
        outcome_unknown = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await trio.sleep(self._rng.uniform(0, RETRY_DELAY_S))
                held.pending = self._submit(held.key, held.record, held.lease)
            await held.pending.done.wait()
            outcome = held.pending.outcome
            if isinstance(outcome, kv_interface.Written):
                held.revision = outcome.revision
                return _claimed(held)
            if isinstance(outcome, kv_interface.Conflict) and outcome.items:
                result = self._resolve_conflict(
                    held, outcome.items[0], body_hash
                )
                if outcome_unknown and not isinstance(
                    result, interface.Claimed
                ):
                    self._abandon(held)
                return result
            if isinstance(outcome, kv_interface.Unknown):
                outcome_unknown = True
            elif isinstance(outcome, kv_interface.Unavailable):
                self._lease = None
                if not outcome_unknown:
                    return _unavailable(outcome.detail)
        if outcome_unknown:
            self._abandon(held)
        return _unavailable('the reply to the claim was lost')

    def _resolve_conflict(
        self,
        held: _HeldClaim,
        item: kv_interface.KeyValue,
        body_hash: str,
    ) -> interface.ClaimResult:
        existing = records.RECORD.validate_json(item.value)
        if existing.token == held.record.token:
            held.revision = item.mod_revision
            return _claimed(held)
        return self._result_for(existing, body_hash)

    def _result_for(
        self, record: records.ClaimRecord, body_hash: str
    ) -> interface.AlreadyDone | requests.Refused:
        """Return the result for a key that is claimed already."""
        if record.body_hash != body_hash:
            return requests.Refused(
                reasons.RefusalReason.KEY_REUSED,
                states.RunState.NOT_RUN,
                'the idempotency key was used with another body',
            )
        if record.state is records.ClaimState.DONE:
            return _stored_response(record)
        if self._holder_alive(record.host_id, record.incarnation):
            return requests.Refused(
                reasons.RefusalReason.CLAIM_IN_PROGRESS,
                states.RunState.UNKNOWN,
                f'the call is in progress at host {record.host_id}',
                RETRY_AFTER_S,
            )
        return requests.Refused(
            reasons.RefusalReason.OUTCOME_UNKNOWN,
            states.RunState.UNKNOWN,
            f'host {record.host_id} failed while it ran the call',
        )

    async def _current_lease(self) -> _ClaimLease | None:
        """Return the lease to attach new claims to, or None."""
        now = trio.current_time()
        lease = self._lease
        if lease and now < lease.renew_at:
            return lease
        granted = await self._kv.grant_lease(self._ttl + LEASE_SHARE_S)
        if not isinstance(granted, kv_interface.LeaseGranted):
            return None
        self._lease = _ClaimLease(
            granted.lease_id, now + LEASE_SHARE_S, now + granted.ttl
        )
        return self._lease

    def _abandon(self, held: _HeldClaim) -> None:
        held.pending.abandoned = True
        self._add_orphan(held)

    def _add_orphan(self, held: _HeldClaim) -> None:
        if len(self._orphans) < MAX_BACKLOG_CLAIMS:
            self._orphans.append(held)
        self._backlog_changed.set()

    async def _run_backlog(self) -> typing.NoReturn:
        backoff = RETRY_DELAY_S
        while True:
            await self._backlog_changed.wait()
            self._backlog_changed = trio.Event()
            await self._store_responses()
            await self._remove_orphans()
            if not self._unstored and not self._orphans:
                backoff = RETRY_DELAY_S
                continue
            self._backlog_changed.set()
            await trio.sleep(self._rng.uniform(0, backoff))
            backoff = min(MAX_BACKOFF_S, backoff * 2)

    async def _store_responses(self) -> None:
        waiting = list(self._unstored.items())
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
            if stored or trio.current_time() > held.lease.expires_at:
                self._unstored.pop(key, None)
                held.stored.set()

    async def _remove_orphans(self) -> None:
        for held in list(self._orphans):
            await held.pending.done.wait()
            expired = trio.current_time() > held.lease.expires_at
            if expired or await self._remove_if_own(held):
                self._orphans.remove(held)
                held.stored.set()

    async def _remove_if_own(self, held: _HeldClaim) -> bool:
        """Remove a claim of this host; False if it must be retried.

        Checks with a compare whether the claim is stored, because a read
        may be stale.
        """
        existing = await self._kv.transact(
            [kv_interface.Compare(held.key, ids.Revision(0))], []
        )
        if isinstance(existing, kv_interface.Written):
            return True
        if not isinstance(existing, kv_interface.Conflict):
            return False
        for item in existing.items:
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


def _claimed(held: _HeldClaim) -> interface.Claimed:
    return interface.Claimed(
        held.record.token, held.lease.expires_at - CLAIM_EXPIRY_MARGIN_S
    )


def _stored_response(
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
        RETRY_AFTER_S,
    )
