"""Keeps the beliefs of this host in step with the store."""

import collections.abc
import contextlib
import logging
import random
import typing

import trio

from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import peer_changes
from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import view
from corianderloft._internal.gateway import watch_pace
from corianderloft._internal.kv import backoff
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import groups
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

FIRST_PAUSE = 0.05
LONGEST_PAUSE = 0.5
"""Mean first wait and longest wait between two tries, in seconds; short
because keys are honoured for seconds only without the store."""

AVOID_TIME = 3.0
"""Mean time for which a host watches the store itself after the one that it
followed was lost, in seconds: the life of the entry of a host that is gone.
"""

HELD_INTERVAL = 0.1
"""Time between two looks for entries that did not come back, in seconds."""

WHOLE_STORE = ''
"""Prefix of one watch over everything, as each waiting watch is a call."""


class Follower(listener.Listener):
    """Hears of changes, from the store or from another host.

    In a large fleet one host of each group watches the store, and the others
    of its group follow it: a waiting watch is a call, and the store's rates
    do not grow with the fleet.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    beliefs : View
        Beliefs to keep.
    bounds : callable
        Returns the bounds in force.
    own : Member
        Entry of this host.

    Attributes
    ----------
    log : ChangeLog
        What this host hears from the store, for the hosts that follow it.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        beliefs: view.View,
        bounds: collections.abc.Callable[[], settings.Bounds],
        own: members.Member,
    ) -> None:
        self._store = store
        self._bounds = bounds
        self._beliefs = beliefs
        self._own = own
        self._place = groups.place(own, (own,))
        self._avoid_until = float('-inf')
        self._backoff = backoff.Backoff(FIRST_PAUSE, LONGEST_PAUSE)
        self.log = change_log.ChangeLog()

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Take over a new list of entry hosts."""
        self._place = groups.place(self._own, current)

    def note_store_failure(self, detail: str) -> None:
        """Note that another call of this host on the store failed.

        It says nothing of the beliefs while those come from another host.
        """
        if self.log.direct:
            self._beliefs.trouble(detail)

    async def run(self) -> typing.NoReturn:
        """Follow until cancelled."""
        while True:
            await trio.sleep(self._backoff.next_delay())
            asked_at = clock.now()
            found = await self._store.get_prefix(WHOLE_STORE)
            if isinstance(found, kv.Unavailable):
                self._beliefs.trouble(found.detail)
                continue
            self._beliefs.confirm(asked_at)
            self._beliefs.load(found)
            self._backoff.reset()
            self.log.begin(found.revision, asked_at)
            while await self._hear():
                pass

    async def drop_held(self) -> typing.NoReturn:
        """Drop entries in time that did not come back after an outage."""
        while True:
            await trio.sleep(HELD_INTERVAL)
            self._beliefs.drop_held()

    async def _hear(self) -> bool:
        """Hear of changes until the source is lost or another is better.

        Returns
        -------
        bool
            Whether no change was missed; else the store has to be read.
        """
        delegate = self._delegate()
        if delegate is None:
            return await self._watch()
        return await self._follow(delegate)

    def _delegate(self) -> members.Member | None:
        """Return the host to follow; None to watch the store."""
        if trio.current_time() < self._avoid_until:
            return None
        return self._place.delegate

    async def _watch(self) -> bool:
        async with self._store.watch(
            WHOLE_STORE, self._beliefs.revision, self._longest_wait
        ) as items:
            events: list[kv.WatchEvent] = []
            async for item in items:
                if isinstance(item, kv.WatchEvent):
                    events.append(item)
                elif isinstance(item, kv.WatchProgress):
                    self._take(events, item)
                    self.log.note(events, item)
                    if self._delegate() is not None:
                        return True
                    if events:
                        await self._pause()
                    events.clear()
                else:
                    logger.info(
                        'watch ended; reading the store again',
                        extra={'cause': item.detail},
                    )
        self.log.end()
        return False

    async def _follow(self, delegate: members.Member) -> bool:
        """Hear of changes from another host."""
        logger.info('following a host', extra={'host': delegate.host_id})
        self.log.end()
        events: list[kv.WatchEvent] = []
        items = peer_changes.watch(delegate, self._beliefs.revision)
        async with contextlib.aclosing(items):
            async for item in items:
                if isinstance(item, kv.WatchEvent):
                    events.append(item)
                elif isinstance(item, kv.WatchProgress):
                    self._take(events, item)
                    events.clear()
                    if self._delegate() != delegate:
                        # The log here holds only what the store told.
                        return self._delegate() is not None
                else:
                    self._note_lost(delegate, item.detail)
        return False

    def _take(
        self,
        events: collections.abc.Sequence[kv.WatchEvent],
        progress: kv.WatchProgress,
    ) -> None:
        beliefs = self._beliefs
        beliefs.apply(events)
        beliefs.revision = max(beliefs.revision, progress.revision)
        beliefs.confirm(progress.as_of)

    def _note_lost(self, delegate: members.Member, cause: str) -> None:
        self._avoid_until = trio.current_time() + spread(AVOID_TIME)
        logger.info(
            'the host followed is lost; reading the store',
            extra={
                'host': delegate.host_id,
                'cause': cause,
                'age_s': round(self._beliefs.age(), 3),
            },
        )

    def _longest_wait(self) -> float:
        return watch_pace.longest_wait(
            self._bounds(), self._beliefs, self._place.is_delegate
        )

    async def _pause(self) -> None:
        pause = watch_pace.pause(
            self._bounds(), self._beliefs, self._place.is_delegate
        )
        await trio.sleep(spread(pause))


def spread(seconds: float) -> float:
    """Return a wait around ``seconds``, so that hosts do not act at once."""
    part = watch_pace.SPREAD
    return random.uniform(1 - part, 1 + part) * seconds
