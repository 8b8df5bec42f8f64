"""A lease that at most one host holds at a time.

The holder checks the expiry of its lease on the monotonic clock before each
action, so a holder that was paused notices that the lease has expired. The
fencing number is the revision at which the lease was acquired and therefore
always increases.
"""

import dataclasses
import random
import typing

import pydantic
import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids

LEASE_PREFIX = 'corianderloft/leases/'
EXPIRY_MARGIN_S = 1.0
RETRY_DELAY_S = 0.5

TAKEN = registry.counter('leases_taken', 'Leases that this host took.')
LOST = registry.counter('leases_lost', 'Leases that this host lost.')


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """The state of a lease as known to its holder.

    Attributes
    ----------
    fencing : FencingNumber
        Fencing number, larger than that of every earlier holder.
    taken_at : float
        When the lease was acquired, on trio's clock, in seconds.
    valid_until : float
        Time after which the holder must not act, on trio's clock, in
        seconds.
    """

    fencing: ids.FencingNumber
    taken_at: float
    valid_until: float


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """Stored representation of a held lease.

    Attributes
    ----------
    host_id : HostId
        Host that holds the lease.
    lease_id : int
        Id of its lease in the key-value service.
    """

    host_id: ids.HostId
    lease_id: int


_RECORD = pydantic.TypeAdapter(LeaseRecord)


@dataclasses.dataclass(frozen=True)
class _Grant:
    lease_id: ids.LeaseId
    expires_at: float


class Lease:
    """Acquires one lease and renews it.

    Parameters
    ----------
    kv : KeyValueClient
        Client of the key-value service.
    name : str
        Name of the lease.
    host_id : HostId
        This host.
    ttl : float
        Time to live in seconds, an integer of at least 3.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        name: str,
        host_id: ids.HostId,
        ttl: float,
        rng: random.Random,
    ) -> None:
        self._kv = kv
        self._key = LEASE_PREFIX + name
        self._host_id = host_id
        self._ttl = ttl
        self._rng = rng
        self._held: HeldLease | None = None

    def current(self, min_remaining: float = 0.0) -> HeldLease | None:
        """Return the lease if it is valid for ``min_remaining`` seconds."""
        held = self._held
        if held and trio.current_time() + min_remaining < held.valid_until:
            return held
        return None

    async def run(self) -> typing.NoReturn:
        """Acquire the lease when it is free and renew it, until cancelled."""
        grant: _Grant | None = None
        try:
            while True:
                grant = await self._grant()
                if grant and await self._acquire(grant):
                    await self._renew_until_lost(grant)
                    LOST.inc({})
                self._held = None
                await self._revoke(grant)
                grant = None
                await trio.sleep(self._rng.uniform(0.5, 1.0) * self._ttl / 2)
        finally:
            self._held = None
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await self._revoke(grant)

    async def _grant(self) -> _Grant | None:
        """Request a lease from the service, unless the key is held."""
        found = await self._kv.get(self._key)
        if not isinstance(found, kv_interface.Found) or found.items:
            return None
        requested_at = trio.current_time()
        granted = await self._kv.grant_lease(self._ttl)
        if not isinstance(granted, kv_interface.LeaseGranted):
            return None
        return _Grant(granted.lease_id, requested_at + granted.ttl)

    async def _acquire(self, grant: _Grant) -> bool:
        """Write the key; retry if the reply is lost."""
        record = LeaseRecord(self._host_id, grant.lease_id)
        put = kv_interface.Put(
            self._key, _RECORD.dump_json(record), grant.lease_id
        )
        absent = kv_interface.Compare(self._key, ids.Revision(0))
        while trio.current_time() < grant.expires_at - EXPIRY_MARGIN_S:
            outcome = await self._kv.transact([absent], [put])
            match outcome:
                case kv_interface.Written(revision):
                    return self._set_held(revision, grant)
                case kv_interface.Conflict(_, items):
                    own = [i for i in items if _matches(i, record)]
                    return bool(own) and self._set_held(
                        own[0].mod_revision, grant
                    )
                case kv_interface.Unavailable():
                    return False
            await trio.sleep(self._rng.uniform(0, RETRY_DELAY_S))
        return False

    def _set_held(self, revision: ids.Revision, grant: _Grant) -> bool:
        TAKEN.inc({})
        self._held = HeldLease(
            ids.FencingNumber(revision),
            trio.current_time(),
            grant.expires_at - EXPIRY_MARGIN_S,
        )
        return True

    async def _renew_until_lost(self, grant: _Grant) -> None:
        """Renew the lease until it is lost or has expired locally."""
        while held := self.current():
            await trio.sleep(self._rng.uniform(0.8, 1.0) * self._ttl / 3)
            requested_at = trio.current_time()
            if requested_at >= held.valid_until:
                return
            renewed = await self._kv.renew_lease(grant.lease_id)
            if isinstance(renewed, kv_interface.LeaseLost):
                return
            if isinstance(renewed, kv_interface.LeaseGranted):
                self._held = dataclasses.replace(
                    held,
                    valid_until=requested_at + renewed.ttl - EXPIRY_MARGIN_S,
                )

    async def _revoke(self, grant: _Grant | None) -> None:
        if grant:
            await self._kv.revoke_lease(grant.lease_id)


def _matches(item: kv_interface.KeyValue, record: LeaseRecord) -> bool:
    return _RECORD.validate_json(item.value) == record
