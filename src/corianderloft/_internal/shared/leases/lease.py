"""A lease that one host holds at a time.

The holder checks its lease against the monotonic clock before each act, so
a holder that was paused finds out before it acts. Its fencing number is the
revision at which it took the lease, which only grows.
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
MARGIN_S = 1.0
RETRY_PAUSE_S = 0.5

TAKEN = registry.counter('leases_taken', 'Leases that this host took.')
LOST = registry.counter('leases_lost', 'Leases that this host lost.')


@dataclasses.dataclass(frozen=True)
class Held:
    """The lease as its holder knows it.

    Attributes
    ----------
    fencing : FencingNumber
        Larger than that of every earlier holder.
    taken_at : float
        When it was taken, on trio's clock, in seconds.
    valid_until : float
        The holder must not act later, on trio's clock, in seconds.
    """

    fencing: ids.FencingNumber
    taken_at: float
    valid_until: float


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """Stored form: who holds the lease.

    Attributes
    ----------
    host_id : HostId
        The holder.
    lease_id : int
        Its lease in the key-value service.
    """

    host_id: ids.HostId
    lease_id: int


_RECORD = pydantic.TypeAdapter(LeaseRecord)


@dataclasses.dataclass(frozen=True)
class _Grant:
    lease_id: ids.LeaseId
    ends: float


class Lease:
    """Campaigns for one lease and keeps it.

    Parameters
    ----------
    kv : KeyValueClient
        The service.
    name : str
        Name of the lease.
    host_id : HostId
        This host.
    ttl : float
        Time to live in seconds, a whole number of at least 3.
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
        self._held: Held | None = None

    def current(self, needed: float = 0.0) -> Held | None:
        """Return the lease if it is held for ``needed`` more seconds."""
        held = self._held
        if held and trio.current_time() + needed < held.valid_until:
            return held
        return None

    async def run(self) -> typing.NoReturn:
        """Take the lease when it is free and keep it, until cancelled."""
        grant: _Grant | None = None
        try:
            while True:
                grant = await self._grant()
                if grant and await self._take(grant):
                    await self._keep(grant)
                    LOST.inc({})
                self._held = None
                await self._give_up(grant)
                grant = None
                await trio.sleep(self._rng.uniform(0.5, 1.0) * self._ttl / 2)
        finally:
            self._held = None
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await self._give_up(grant)

    async def _grant(self) -> _Grant | None:
        """Ask for a lease in the service, unless another host holds it."""
        found = await self._kv.get(self._key)
        if not isinstance(found, kv_interface.Found) or found.items:
            return None
        asked_at = trio.current_time()
        granted = await self._kv.grant_lease(self._ttl)
        if not isinstance(granted, kv_interface.LeaseGranted):
            return None
        return _Grant(granted.lease_id, asked_at + granted.ttl)

    async def _take(self, grant: _Grant) -> bool:
        """Write the key; a lost reply is settled by trying again."""
        record = LeaseRecord(self._host_id, grant.lease_id)
        put = kv_interface.Put(
            self._key, _RECORD.dump_json(record), grant.lease_id
        )
        absent = kv_interface.Compare(self._key, ids.Revision(0))
        while trio.current_time() < grant.ends - MARGIN_S:
            outcome = await self._kv.transact([absent], [put])
            match outcome:
                case kv_interface.Written(revision):
                    return self._hold(revision, grant)
                case kv_interface.Conflict(_, items):
                    own = [i for i in items if _is(i, record)]
                    return bool(own) and self._hold(own[0].mod_revision, grant)
                case kv_interface.Unavailable():
                    return False
            await trio.sleep(self._rng.uniform(0, RETRY_PAUSE_S))
        return False

    def _hold(self, revision: ids.Revision, grant: _Grant) -> bool:
        TAKEN.inc({})
        self._held = Held(
            ids.FencingNumber(revision),
            trio.current_time(),
            grant.ends - MARGIN_S,
        )
        return True

    async def _keep(self, grant: _Grant) -> None:
        """Renew until the lease is lost or has run out on this clock."""
        while held := self.current():
            await trio.sleep(self._rng.uniform(0.8, 1.0) * self._ttl / 3)
            asked_at = trio.current_time()
            if asked_at >= held.valid_until:
                return
            renewed = await self._kv.renew_lease(grant.lease_id)
            if isinstance(renewed, kv_interface.LeaseLost):
                return
            if isinstance(renewed, kv_interface.LeaseGranted):
                self._held = dataclasses.replace(
                    held, valid_until=asked_at + renewed.ttl - MARGIN_S
                )

    async def _give_up(self, grant: _Grant | None) -> None:
        if grant:
            await self._kv.revoke_lease(grant.lease_id)


def _is(item: kv_interface.KeyValue, record: LeaseRecord) -> bool:
    return _RECORD.validate_json(item.value) == record
