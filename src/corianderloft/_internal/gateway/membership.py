"""Registers this host in the store under a lease."""

import collections.abc
import logging
import typing

import trio

from corianderloft._internal.gateway import following
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

LEASE_TIME = 3.0
"""Life of the entry of a host that is gone, in seconds: callers that are
sent to it lose a second each until then."""

RENEW_PART = 1 / 3
"""Part of the life of a lease between two renewals; two may be lost."""

RETRY_INTERVAL = 0.6
"""Wait after a call that failed, in seconds: three tries before the lease
lapses, and a store that is away is not asked more often than it must be."""

LEAVE_TIME = 1.0
"""Longest time for the entry to be removed, in seconds."""


class Membership:
    """Keeps the entry of this host.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    key : str
        Key of the entry.
    value : bytes
        The entry.
    failed : callable
        Told why a call failed.
    min_lease_ttl : float
        Shortest life of a lease that the store grants, in seconds.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        key: str,
        value: bytes,
        failed: collections.abc.Callable[[str], None],
        min_lease_ttl: float = 0.0,
    ) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._failed = failed
        self._life = max(LEASE_TIME, min_lease_ttl)
        self._lease: ids.LeaseId | None = None
        self._failing = False

    async def run(self) -> typing.NoReturn:
        """Keep the entry until cancelled."""
        while True:
            if self._lease is None:
                await self._register()
            else:
                await self._renew(self._lease)

    async def leave(self) -> None:
        """Remove the entry."""
        if self._lease is None:
            return
        with trio.move_on_after(LEAVE_TIME):
            outcome = await self._store.revoke_lease(self._lease)
            logger.info(
                'entry of this host removed',
                extra={'key': self._key, 'outcome': type(outcome).__name__},
            )
        self._lease = None

    async def _register(self) -> None:
        granted = await self._store.grant_lease(self._life)
        if not isinstance(granted, kv.LeaseGranted):
            await self._pause(granted.detail)
            return
        put = kv.Put(self._key, self._value, granted.lease_id)
        written = await self._store.transact((), (put,))
        if not isinstance(written, kv.Written):
            await self._pause(str(written))
            return
        self._lease = granted.lease_id
        logger.info(
            'entry of this host written',
            extra={'key': self._key, 'revision': written.revision},
        )
        await self._wait()

    async def _renew(self, lease: ids.LeaseId) -> None:
        renewed = await self._store.renew_lease(lease)
        if isinstance(renewed, kv.LeaseLost):
            logger.warning('lease of this host lapsed; registering again')
            self._lease = None
        elif isinstance(renewed, kv.Unavailable):
            await self._pause(renewed.detail)
        else:
            await self._wait()

    async def _wait(self) -> None:
        if self._failing:
            self._failing = False
            logger.info('lease of this host kept again')
        await trio.sleep(following.spread(RENEW_PART * self._life))

    async def _pause(self, detail: str) -> None:
        self._failed(detail)
        if not self._failing:
            self._failing = True
            logger.warning(
                'lease of this host not kept', extra={'cause': detail}
            )
        await trio.sleep(following.spread(RETRY_INTERVAL))
