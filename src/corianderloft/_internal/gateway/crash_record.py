"""Keeps prompt parts and requests that crash backend servers in the store.

Hosts tell each other, so this serves hosts that start after all others have
ended.
"""

import collections.abc
import logging
import random
import typing

import trio

from corianderloft._internal.gateway import crash_messages
from corianderloft._internal.gateway import following
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.placement import crash_evidence

logger = logging.getLogger(__name__)

MAX_KEY_BYTES = 200
"""Longest key that the store accepts."""

RETRY_INTERVAL_S = 2.0
"""Delay after a failed call."""

RESTORE_SPREAD_S = 2.0
"""Time over which the hosts write again what a restored store lacks: most of
them then find that another host has done so."""

MAX_TRIES = 30
"""Tries to write an entry before it is given up, over about a minute."""


class CrashRecord:
    """Writes the harmful suspects that this host found.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    prefix : str
        Prefix of the keys; the ID of the part or request follows.
    evidence : CrashEvidence
        Evidence as known to this host.
    listed_era : callable
        Returns the era of the entries that this host knows.
    is_listed : callable
        Returns whether this host knows an entry with a key.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        prefix: str,
        evidence: crash_evidence.CrashEvidence,
        listed_era: collections.abc.Callable[[], ids.Era],
        is_listed: collections.abc.Callable[[str], bool],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._evidence = evidence
        self._listed_era = listed_era
        self._is_listed = is_listed

    async def run(self) -> None:
        """Write and remove entries until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_evidence)
            nursery.start_soon(self._follow_eras)

    async def _follow_eras(self) -> typing.NoReturn:
        """Correct the entries each time that the store was restored."""
        era = await self._store.wait_newer_era(eras.BEFORE_ANY)
        while True:
            era = await self._store.wait_newer_era(era)
            await trio.sleep(random.uniform(0, RESTORE_SPREAD_S))
            while self._listed_era() < self._store.era:
                await trio.sleep(following.jittered(RETRY_INTERVAL_S))
            await self._correct_entries()

    async def _correct_entries(self) -> None:
        for report in self._evidence.stored_reports(trio.current_time()):
            if not self._is_listed(self._prefix + report.suspect_id):
                await self._update(report.suspect_id, report)
        for suspect_id in self._evidence.cleared_suspects():
            if self._is_listed(self._prefix + suspect_id):
                await self._update(suspect_id, None)

    async def _follow_evidence(self) -> typing.NoReturn:
        while True:
            await self._evidence.wait_for_record_change()
            await trio.sleep(crash_evidence.SETTLE_S)
            now = trio.current_time()
            for report in self._evidence.take_unstored(now):
                await self._update(report.suspect_id, report)
            for suspect_id in self._evidence.take_cleared():
                await self._update(suspect_id, None)

    async def _update(
        self,
        suspect_id: ids.SuspectId,
        report: crashes.CrashReport | None,
    ) -> None:
        """Write an entry, or remove it if there is no report."""
        key = self._prefix + suspect_id
        if len(key.encode('utf-8')) > MAX_KEY_BYTES:
            logger.warning(
                'crashes of a prompt part not stored: its ID is too long',
                extra={'part': suspect_id[:MAX_KEY_BYTES]},
            )
            return
        cause = ''
        for _ in range(MAX_TRIES):
            if report is None:
                cause = await self._remove(key)
            else:
                cause = await self._put(key, report)
            if not cause:
                return
            await trio.sleep(following.jittered(RETRY_INTERVAL_S))
        logger.warning(
            'crashes of a prompt part not stored',
            extra={'key': key, 'cause': cause},
        )

    async def _put(self, key: str, report: crashes.CrashReport) -> str:
        """Write an entry; return the cause of a failure."""
        granted = await self._store.grant_lease(
            crash_evidence.MAX_QUARANTINE_S
        )
        if not isinstance(granted, kv.LeaseGranted):
            return granted.detail
        value = crash_messages.encode_report(report)
        written = await self._store.transact(
            (), (kv.Put(key, value, granted.lease_id),)
        )
        if not isinstance(written, kv.Written):
            return str(written)
        logger.info(
            'crashes of a prompt part stored',
            extra=eras.log_fields(written.revision) | {'key': key},
        )
        return ''

    async def _remove(self, key: str) -> str:
        """Remove an entry; return the cause of a failure."""
        written = await self._store.transact((), (kv.Delete(key),))
        return '' if isinstance(written, kv.Written) else str(written)
