"""A lease that at most one host holds at a time.

The holder checks the expiry of its lease before each action, on a clock that
also runs while the host is suspended, so a holder that was paused or suspended
notices that the lease has expired. The fencing number is the revision at which
the lease was acquired and therefore always increases, also if the service
comes back from an older copy.
"""

import collections.abc
import dataclasses
import random
import typing

import orjson
import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.utils import clock

LEASE_PREFIX = 'corianderloft/leases/'
EXPIRY_MARGIN_S = 1.0
RETRY_DELAY_S = 0.5

MAX_PASSED_READS = 4
"""Reads of the key that are left out in a row while it looks held."""

GIVEN_UP = 'given up'
"""Cause of the end of a lease that its holder released."""


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """The state of a lease as known to its holder.

    Attributes
    ----------
    fencing : FencingNumber
        Fencing number, larger than that of every earlier holder.
    taken_at : float
        When the lease was acquired, on `clock.now`, in seconds.
    valid_until : float
        Time after which the holder must not act, on `clock.now`, in seconds.
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


class Observer(typing.Protocol):
    """Hears of changes of a lease, for the log and the metrics."""

    def taken(self, held: HeldLease) -> None:
        """Note that this host acquired the lease."""

    def lost(self, held: HeldLease, cause: str) -> None:
        """Note that this host no longer holds the lease."""


@dataclasses.dataclass(frozen=True)
class _Grant:
    lease_id: ids.LeaseId
    expires_at: float
    era: ids.Era


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
    prefix : str
        Prefix of the key; the name follows.
    expiry_margin : float
        Time before the expiry from which the holder must not act, in seconds.
    observer : Observer or None
        Hears of changes of the lease.
    looks_held : callable
        Returns whether a copy of the service's keys has the key of the lease,
        so that it need not be read. The copy may be old.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        name: str,
        host_id: ids.HostId,
        ttl: float,
        rng: random.Random,
        prefix: str = LEASE_PREFIX,
        expiry_margin: float = EXPIRY_MARGIN_S,
        observer: Observer | None = None,
        looks_held: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._kv = kv
        self._key = prefix + name
        self._host_id = host_id
        self._ttl = ttl
        self._rng = rng
        self._expiry_margin = expiry_margin
        self._observer = observer
        self._looks_held = looks_held
        self._passes_left = MAX_PASSED_READS
        self._held: HeldLease | None = None
        self._held_era = ids.Era(0)

    def current(self, min_remaining: float = 0.0) -> HeldLease | None:
        """Return the lease if it is valid for ``min_remaining`` seconds.

        A service that came back from an older copy may have lost it.
        """
        held = self._held
        if held is None or self._kv.era != self._held_era:
            return None
        if clock.now() + min_remaining < held.valid_until:
            return held
        return None

    async def run(self) -> typing.NoReturn:
        """Acquire the lease when it is free and renew it, until cancelled."""
        grant: _Grant | None = None
        try:
            while True:
                grant = await self._grant()
                if grant and await self._acquire(grant):
                    self._drop(await self._renew_until_lost(grant))
                await self._revoke(grant)
                grant = None
                await trio.sleep(self._rng.uniform(0.5, 1.0) * self._ttl / 2)
        finally:
            self._drop(GIVEN_UP)
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await self._revoke(grant)

    async def _grant(self) -> _Grant | None:
        """Request a lease from the service, unless the key is held."""
        if self._passes_left and self._looks_held():
            self._passes_left -= 1
            return None
        self._passes_left = MAX_PASSED_READS
        found = await self._kv.get(self._key)
        if not isinstance(found, kv_interface.Found) or found.items:
            return None
        requested_at, era = clock.now(), self._kv.era
        granted = await self._kv.grant_lease(self._ttl)
        if not isinstance(granted, kv_interface.LeaseGranted):
            return None
        return _Grant(granted.lease_id, requested_at + granted.ttl, era)

    async def _acquire(self, grant: _Grant) -> bool:
        """Write the key; retry if the reply is lost."""
        record = LeaseRecord(self._host_id, grant.lease_id)
        put = kv_interface.Put(self._key, orjson.dumps(record), grant.lease_id)
        absent = kv_interface.Compare(self._key, ids.Revision(0))
        while clock.now() < grant.expires_at - self._expiry_margin:
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
        """Hold the lease, unless the service was restored meanwhile."""
        if self._kv.era != grant.era:
            return False
        self._held_era = grant.era
        self._held = HeldLease(
            ids.FencingNumber(revision),
            clock.now(),
            grant.expires_at - self._expiry_margin,
        )
        if self._observer:
            self._observer.taken(self._held)
        return True

    def _drop(self, cause: str) -> None:
        held, self._held = self._held, None
        if held and self._observer:
            self._observer.lost(held, cause)

    async def _renew_until_lost(self, grant: _Grant) -> str:
        """Renew the lease until it is lost or has expired; return why."""
        while held := self.current():
            await trio.sleep(self._rng.uniform(0.8, 1.0) * self._ttl / 3)
            requested_at = clock.now()
            if requested_at >= held.valid_until:
                break
            renewed = await self._kv.renew_lease(grant.lease_id)
            if isinstance(renewed, kv_interface.LeaseLost):
                return 'the service no longer has it'
            if isinstance(renewed, kv_interface.LeaseGranted):
                self._held = dataclasses.replace(
                    held,
                    valid_until=(
                        requested_at + renewed.ttl - self._expiry_margin
                    ),
                )
        if self._kv.era != self._held_era:
            return 'the service came back from an older copy'
        return 'not renewed in time'

    async def _revoke(self, grant: _Grant | None) -> None:
        if grant:
            await self._kv.revoke_lease(grant.lease_id)


def _matches(item: kv_interface.KeyValue, record: LeaseRecord) -> bool:
    try:
        return bool(orjson.loads(item.value) == dataclasses.asdict(record))
    except ValueError:
        return False
