"""Claims of idempotency keys by compare-and-swap.

A non-idempotent call is sent only by the host whose token is stored in the
key-value service. No other host takes over a claim: if the claiming host
fails, it stays unknown whether the call ran.

A service that comes back from an older copy has lost claims. Each host writes
its own ones again, and no host sends a call on a new claim before the others
have had time for that.
"""

import collections
import collections.abc
import dataclasses
import itertools
import logging
import random
import typing

import trio

from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.shared.claims import batch
from corianderloft._internal.shared.claims import records
from corianderloft._internal.shared.claims import results
from corianderloft._internal.shared import interface

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.1
MAX_BACKOFF_S = 5.0
STORE_TIMEOUT_S = 1.0
LEASE_SHARE_S = 600.0
CLAIM_EXPIRY_MARGIN_S = 60.0
MAX_BACKLOG_CLAIMS = 4096

RESTORE_GRACE_S = 3.0
"""Time after a restore of the service in which new claims are refused: other
hosts notice it with their next call, and write their claims again."""

RECENT_S = 60.0
"""Time for which stored responses are kept to be written again; the copy that
a service comes back from is only some seconds old."""

HolderCheck = collections.abc.Callable[[ids.HostId, ids.Incarnation], bool]


@dataclasses.dataclass(frozen=True)
class _ClaimLease:
    """A lease that the keys of claims are attached to.

    ``expires_at`` is on trio's clock and is computed from the time before
    the lease was requested, so the service never expires it earlier.
    ``era`` is that of the service when it was granted.
    """

    lease_id: ids.LeaseId
    renew_at: float
    expires_at: float
    era: ids.Era


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
        self._recent: collections.OrderedDict[str, tuple[_HeldClaim, float]]
        self._recent = collections.OrderedDict()
        self._settled_era: ids.Era | None = None

    async def run(self) -> None:
        """Write claims, responses and releases until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batcher.run)
            nursery.start_soon(self._run_backlog)
            nursery.start_soon(self._follow_eras)

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
            return results.unavailable('no lease for the claim was granted')
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
                if not self._is_settled(eras.era_of(outcome.revision)):
                    self._abandon(held)
                    return results.unavailable(
                        'the key-value service has just come back from an'
                        ' older copy'
                    )
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
                    return results.unavailable(outcome.detail)
        if outcome_unknown:
            self._abandon(held)
        return results.unavailable('the reply to the claim was lost')

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
            return results.stored_response(record)
        if self._holder_alive(record.host_id, record.incarnation):
            return requests.Refused(
                reasons.RefusalReason.CLAIM_IN_PROGRESS,
                states.RunState.UNKNOWN,
                f'the call is in progress at host {record.host_id}',
                results.RETRY_AFTER_S,
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
        if lease and now < lease.renew_at and lease.era == self._kv.era:
            return lease
        granted = await self._kv.grant_lease(self._ttl + LEASE_SHARE_S)
        if not isinstance(granted, kv_interface.LeaseGranted):
            return None
        self._lease = _ClaimLease(
            granted.lease_id,
            now + LEASE_SHARE_S,
            now + granted.ttl,
            self._kv.era,
        )
        return self._lease

    def _abandon(self, held: _HeldClaim) -> None:
        held.pending.abandoned = True
        self._add_orphan(held)

    def _add_orphan(self, held: _HeldClaim) -> None:
        if len(self._orphans) < MAX_BACKLOG_CLAIMS:
            self._orphans.append(held)
        self._backlog_changed.set()

    def _is_settled(self, era: ids.Era) -> bool:
        """Return whether the claims of other hosts are stored in an era.

        The first era that this host meets counts as settled.
        """
        if self._settled_era is None:
            self._settled_era = era
        return era == self._settled_era

    async def _follow_eras(self) -> typing.NoReturn:
        """Write the claims of this host again after each restore."""
        era = await self._kv.wait_newer_era(eras.BEFORE_ANY)
        self._is_settled(era)
        while True:
            era = await self._kv.wait_newer_era(era)
            noticed_at = trio.current_time()
            self._lease = None
            await self._claim_again()
            await trio.sleep_until(noticed_at + RESTORE_GRACE_S)
            self._settled_era = era

    async def _claim_again(self) -> None:
        """Write claims and responses that the service may have lost."""
        oldest = trio.current_time() - RECENT_S
        recent = [h for h, at in self._recent.values() if at >= oldest]
        waiting = [*self._held.values(), *recent]
        for _ in range(MAX_ATTEMPTS):
            lease = await self._current_lease()
            if lease is not None:
                waiting = await self._write_again(waiting, lease)
            if not waiting:
                return
            await trio.sleep(self._rng.uniform(0, RETRY_DELAY_S))
        logger.error(
            '%d claims were not written again after a restore of the'
            ' key-value service',
            len(waiting),
        )

    async def _write_again(
        self, waiting: collections.abc.Sequence[_HeldClaim], lease: _ClaimLease
    ) -> list[_HeldClaim]:
        """Write claims that are not stored; return those to try again."""
        for held in waiting:
            held.lease = lease
            held.pending = self._submit(held.key, held.record, lease)
        failed = []
        for held in waiting:
            await held.pending.done.wait()
            outcome = held.pending.outcome
            if isinstance(outcome, kv_interface.Written):
                held.revision = outcome.revision
            elif isinstance(outcome, kv_interface.Conflict):
                self._use_stored(held, outcome)
            else:
                failed.append(held)
        return failed

    def _use_stored(
        self, held: _HeldClaim, conflict: kv_interface.Conflict
    ) -> bool:
        """Use what the service holds for a claim of this host.

        Returns whether its response is still to be stored.
        """
        for item in conflict.items:
            record = records.RECORD.validate_json(item.value)
            if record.token != held.record.token:
                logger.error(
                    'another host holds the claim %s, which this host had'
                    ' before the key-value service lost it',
                    held.key,
                )
                return False
            held.revision = item.mod_revision
            if record.state is not held.record.state:
                self._unstored[held.key] = held
                self._backlog_changed.set()
                return True
            return False
        # The service has lost the claim.
        held.revision = None
        return True

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
        for _, held in waiting:
            if held.lease.era != self._kv.era:
                held.lease = await self._current_lease() or held.lease
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
            outcome = pending.outcome
            if isinstance(outcome, kv_interface.Conflict):
                stored = not self._use_stored(held, outcome)
            else:
                stored = isinstance(outcome, kv_interface.Written)
            if stored:
                self._remember(held)
            if stored or trio.current_time() > held.lease.expires_at:
                self._unstored.pop(key, None)
                held.stored.set()

    def _remember(self, held: _HeldClaim) -> None:
        """Keep a stored response, in case the service loses it."""
        now = trio.current_time()
        self._recent[held.key] = held, now
        self._recent.move_to_end(held.key)
        while self._recent:
            _, stored_at = next(iter(self._recent.values()))
            if (
                len(self._recent) <= MAX_BACKLOG_CLAIMS
                and stored_at >= now - RECENT_S
            ):
                break
            self._recent.popitem(last=False)

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
