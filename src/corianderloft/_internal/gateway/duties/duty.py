"""The lease under which one host performs the duties of the fleet.

One lease covers all duties. A few hosts compete for it, so that the reads of
those that do not hold it do not grow with the fleet.
"""

import collections.abc
import logging
import random
import typing

import trio

from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.gateway import metrics
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import hashing
from corianderloft._internal.shared.leases import lease
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

CANDIDATES = 3
"""Hosts that compete for the lease: two may be lost at once, each in a
failure domain of its own, and a third still takes over."""

LEASE_NAME = 'lease'

RANK_KEY = 'duties'
"""Key of the order of hosts; other than that of `placement.groups`, so that
the candidates are not the delegates, which have more traffic."""


def elect(
    fleet: collections.abc.Iterable[members.Member], count: int = CANDIDATES
) -> tuple[members.Member, ...]:
    """Return the hosts that compete for the lease.

    They are in different failure domains as far as there are enough. Hosts
    with the same member list elect the same candidates.
    """
    ranked = hashing.ranked(RANK_KEY, fleet, lambda m: m.host_id)
    domains: set[ids.FailureDomain] = set()
    first: list[members.Member] = []
    others: list[members.Member] = []
    for member in ranked:
        is_first = member.failure_domain not in domains
        domains.add(member.failure_domain)
        (first if is_first else others).append(member)
    return tuple([*first, *others][:count])


class Duty(listener.Listener):
    """Competes for the lease while this host is a candidate.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    prefix : str
        Key prefix of all that concerns duties.
    host_id : HostId
        This host.
    ttl : float
        Time to live of the lease, in seconds; at least the time in which the
        holder may not change to another host and back.
    rng : random.Random
        Source of jitter.
    is_listed : callable
        Returns whether this host's copy of the store has a key.

    Attributes
    ----------
    candidates : tuple of Member
        Hosts that compete for the lease, best first.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        prefix: str,
        host_id: ids.HostId,
        ttl: float,
        rng: random.Random,
        is_listed: collections.abc.Callable[[str], bool] = lambda key: False,
    ) -> None:
        self._host_id = host_id
        self._ttl = ttl
        # A new holder waits for a whole TTL, so the former one may act until
        # the expiry itself.
        self._lease = lease.Lease(
            store,
            LEASE_NAME,
            host_id,
            ttl,
            rng,
            prefix=prefix,
            expiry_margin=0.0,
            observer=_Observer(),
            looks_held=lambda: is_listed(prefix + LEASE_NAME),
        )
        self.candidates: tuple[members.Member, ...] = ()
        self._changed = trio.Event()

    @property
    def is_candidate(self) -> bool:
        """Whether this host competes for the lease."""
        return any(m.host_id == self._host_id for m in self.candidates)

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Elect the candidates from a new list of entry hosts."""
        self.candidates = elect(current)
        self._changed.set()
        self._changed = trio.Event()

    def current(self, min_remaining: float = 0.0) -> interface.Held | None:
        """Return the lease if this host may act on it now.

        A former holder may trust its lease for a TTL after the acquisition by
        this one, if the store lost the lease, and its last call may arrive a
        call timeout later.
        """
        held = self._lease.current(min_remaining)
        if held is None:
            return None
        acts_from = held.taken_at + self._ttl + interface.CALL_TIMEOUT_S
        if clock.now() < acts_from:
            return None
        return interface.Held(
            held.fencing, acts_from, held.valid_until, held.taken_at
        )

    async def run(self) -> typing.NoReturn:
        """Compete for the lease, until cancelled; then release it."""
        while True:
            while not self.is_candidate:
                await self._changed.wait()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._compete)
                while self.is_candidate:
                    await self._changed.wait()
                nursery.cancel_scope.cancel()

    async def _compete(self) -> None:
        """Compete for the lease after a wait of one TTL.

        Candidates that were elected earlier, and that know what hosts have
        counted that are gone, take a free lease meanwhile.
        """
        await trio.sleep(self._ttl)
        await self._lease.run()


class _Observer:
    """Implements `lease.Observer`."""

    def taken(self, held: lease.HeldLease) -> None:
        """Log and count that this host holds the duties."""
        metrics.duty_held = True
        logger.info(
            'duties taken', extra=eras.log_fields(ids.Revision(held.fencing))
        )

    def lost(self, held: lease.HeldLease, cause: str) -> None:
        """Log and count that this host no longer holds the duties."""
        metrics.duty_held = False
        logger.info(
            'duties lost',
            extra=eras.log_fields(ids.Revision(held.fencing))
            | {'cause': cause},
        )
