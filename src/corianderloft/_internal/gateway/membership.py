"""Registration of this host in the store under a lease."""

import collections.abc
import logging
import typing

import trio

from corianderloft._internal.gateway import following
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

LEASE_TTL_S = 6.0
"""Time to live of the lease. Until the lease of a failed host expires,
callers are still directed to it and lose a second each; each renewal is a
call, and there are as many as hosts."""

RENEW_INTERVAL_RATIO = 1 / 3
"""Renewal interval as a fraction of the TTL; two renewals may be lost."""

RETRY_INTERVAL_S = 0.6
"""Delay after a failed call: allows three tries before the lease expires
without adding needless load while the store is unavailable."""

MAX_CONFLICTS = 3
"""Attempts to write the entry over one that this host did not know of, as
after a restart, before the next retry."""

DEREGISTER_TIMEOUT_S = 1.0
"""Timeout for removing the entry at shutdown."""


class Membership:
    """Writes the entry of this host and renews its lease.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    key : str
        Key of the entry.
    encode_entry : callable
        Returns the entry to write.
    on_failure : callable
        Called with the cause when a call to the store fails.
    min_lease_ttl : float
        Shortest TTL of a lease that the store grants, in seconds.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        key: str,
        encode_entry: collections.abc.Callable[[], bytes],
        on_failure: collections.abc.Callable[[str], None],
        min_lease_ttl: float = 0.0,
    ) -> None:
        self._store = store
        self._key = key
        self._encode_entry = encode_entry
        self._value = b''
        self._on_failure = on_failure
        self._ttl = max(LEASE_TTL_S, min_lease_ttl)
        # Set before the entry is written: a host that is told to stop in
        # between revokes the lease, and a write that is still on its way to
        # the store then fails.
        self._lease: ids.LeaseId | None = None
        self._written = False
        self._lease_era = ids.Era(0)
        self._known_revision = ids.Revision(0)
        self._failing = False

    async def run(self) -> typing.NoReturn:
        """Keep this host registered until cancelled."""
        while True:
            lost = not self._written or self._store.era > self._lease_era
            if self._lease is None or lost:
                await self._register()
            else:
                await self._renew(self._lease)

    async def deregister(self) -> None:
        """Remove the entry by revoking its lease."""
        if self._lease is None:
            return
        with trio.move_on_after(DEREGISTER_TIMEOUT_S):
            result: kv.Write = await self._store.revoke_lease(self._lease)
            if self._store.era > self._lease_era:
                result = await self._remove_entry()
            logger.info(
                'entry of this host removed',
                extra={'key': self._key, 'outcome': type(result).__name__},
            )
        self._lease = None
        self._written = False

    async def _remove_entry(self) -> kv.Write:
        """Remove the entry without its lease, which is of an earlier era."""
        found = await self._store.get(self._key)
        if isinstance(found, kv.Unavailable):
            return found
        for item in found.items:
            if item.value == self._value:
                compare = kv.Compare(self._key, item.mod_revision)
                return await self._store.transact(
                    (compare,), (kv.Delete(self._key),)
                )
        return kv.Written(found.revision)

    async def _register(self) -> None:
        granted = await self._store.grant_lease(self._ttl)
        if not isinstance(granted, kv.LeaseGranted):
            await self._wait_to_retry(granted.detail)
            return
        self._lease, self._lease_era = granted.lease_id, self._store.era
        self._value = self._encode_entry()
        written = await self._write_entry(granted.lease_id)
        if not isinstance(written, kv.Written):
            await self._wait_to_retry(str(written))
            return
        self._written = True
        logger.info(
            'entry of this host written',
            extra=eras.log_fields(written.revision) | {'key': self._key},
        )
        await self._wait_to_renew()

    async def _write_entry(self, lease_id: ids.LeaseId) -> kv.Write:
        """Write the entry if it is as this host knows it.

        A write without a reply may be executed seconds later. The condition
        keeps it from replacing a later entry, with a lease that has ended.
        """
        put = kv.Put(self._key, self._value, lease_id)
        for _ in range(MAX_CONFLICTS):
            compare = kv.Compare(self._key, self._known_revision)
            written = await self._store.transact((compare,), (put,))
            if isinstance(written, kv.Written):
                self._known_revision = written.revision
            if not isinstance(written, kv.Conflict):
                break
            found = await self._store.get(self._key)
            if isinstance(found, kv.Unavailable):
                return found
            self._known_revision = next(
                (item.mod_revision for item in found.items), ids.Revision(0)
            )
        return written

    async def _renew(self, lease: ids.LeaseId) -> None:
        renewed = await self._store.renew_lease(lease)
        if isinstance(renewed, kv.LeaseLost):
            logger.warning('lease of this host expired; registering again')
            self._written = False
            self._known_revision = ids.Revision(0)
        elif isinstance(renewed, kv.Unavailable):
            await self._wait_to_retry(renewed.detail)
        else:
            await self._wait_to_renew()

    async def _wait_to_renew(self) -> None:
        if self._failing:
            self._failing = False
            logger.info('lease of this host kept again')
        interval = following.jittered(RENEW_INTERVAL_RATIO * self._ttl)
        with trio.move_on_after(interval):
            await self._store.wait_newer_era(self._lease_era)

    async def _wait_to_retry(self, detail: str) -> None:
        self._on_failure(detail)
        if not self._failing:
            self._failing = True
            logger.warning(
                'lease of this host not kept', extra={'cause': detail}
            )
        await trio.sleep(following.jittered(RETRY_INTERVAL_S))
