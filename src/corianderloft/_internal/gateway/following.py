"""Keeps the beliefs of this host in step with the store."""

import collections.abc
import contextlib
import enum
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
LONGEST_PAUSE = 1.0
"""Mean first wait and longest wait between two tries, in seconds; short
because keys are honoured for seconds only without the store, but a store that
refuses everybody is asked by the whole fleet."""

FOLLOWER_PAUSES = 3
"""How many times longer a host waits that can ask another one meanwhile."""

ASK_AGAIN_INTERVAL = 0.3
"""Time between two questions to the host of the group while the store is
lost, in seconds: that host reads the store about twice a second then."""

AVOID_TIME = 3.0
"""Mean time for which a host watches the store itself after the one that it
followed was lost, in seconds: the life of the entry of a host that is gone.
"""

HELD_INTERVAL = 0.1
"""Time between two looks for entries that did not come back, in seconds."""

WHOLE_STORE = ''
"""Prefix of one watch over everything, as each waiting watch is a call."""


class Heard(enum.Enum):
    """How a time of hearing of changes ended."""

    EVERYTHING = 'another source is better, and no change was missed'
    GAP = 'the source does not keep all changes any more'
    LOST = 'the source told something and was lost'
    NOTHING = 'the source told nothing'


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
        self._place = groups.assign(own, (own,))
        self._avoid_until = float('-inf')
        self._refused = False
        self._backoff = backoff.Backoff(FIRST_PAUSE, LONGEST_PAUSE)
        self.log = change_log.ChangeLog()

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Take over a new list of entry hosts."""
        self._place = groups.assign(self._own, current)

    def note_store_failure(self, detail: str) -> None:
        """Note that another call of this host on the store failed.

        It says nothing of the beliefs while those come from another host.
        """
        if self.log.direct:
            self._beliefs.trouble(detail)

    async def run(self) -> typing.NoReturn:
        """Follow until cancelled."""
        while True:
            await self._wait_to_read()
            asked_at = clock.now()
            found = await self._store.get_prefix(WHOLE_STORE)
            if isinstance(found, kv.Unavailable):
                self._refused = True
                self._beliefs.trouble(found.detail)
                continue
            self._refused = False
            self._beliefs.confirm(asked_at)
            self._beliefs.load(found)
            self._backoff.reset()
            self.log.begin(found.revision, asked_at)
            while await self._hear() is Heard.EVERYTHING:
                pass

    async def drop_held(self) -> typing.NoReturn:
        """Drop entries in time that did not come back after an outage."""
        while True:
            await trio.sleep(HELD_INTERVAL)
            self._beliefs.drop_held()

    async def _wait_to_read(self) -> None:
        """Wait before the next read; ask the host of the group meanwhile.

        The store may refuse this host and serve that one.
        """
        pause = self._backoff.next_delay()
        delegate = self._place.delegate
        if delegate is None or not self._refused:
            await trio.sleep(pause)
            return
        until = trio.current_time() + FOLLOWER_PAUSES * pause
        while trio.current_time() + ASK_AGAIN_INTERVAL < until:
            await trio.sleep(ASK_AGAIN_INTERVAL)
            if await self._follow(delegate) is not Heard.NOTHING:
                return
        await trio.sleep_until(until)

    async def _hear(self) -> Heard:
        """Hear of changes until the source is lost or another is better."""
        delegate = self._delegate()
        if delegate is None:
            return await self._watch()
        heard = await self._follow(delegate)
        if heard in (Heard.LOST, Heard.NOTHING):
            self._avoid_until = trio.current_time() + spread(AVOID_TIME)
        return heard

    def _delegate(self) -> members.Member | None:
        """Return the host to follow; None to watch the store."""
        if trio.current_time() < self._avoid_until:
            return None
        return self._place.delegate

    async def _watch(self) -> Heard:
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
                        return Heard.EVERYTHING
                    if events:
                        await self._pause()
                    events.clear()
                else:
                    logger.info(
                        'watch ended; reading the store again',
                        extra={'cause': item.detail},
                    )
        self.log.end()
        return Heard.LOST

    async def _follow(self, delegate: members.Member) -> Heard:
        """Hear of changes from another host."""
        self.log.end()
        heard = Heard.NOTHING
        events: list[kv.WatchEvent] = []
        items = peer_changes.watch(delegate, self._beliefs.revision)
        async with contextlib.aclosing(items):
            async for item in items:
                if isinstance(item, kv.WatchEvent):
                    events.append(item)
                elif isinstance(item, kv.WatchProgress):
                    if heard is Heard.NOTHING:
                        logger.info(
                            'following a host',
                            extra={'host': delegate.host_id},
                        )
                        heard = Heard.LOST
                    self._take(events, item)
                    events.clear()
                    if self._place.delegate != delegate:
                        # The log here holds only what the store told.
                        followed = self._delegate() is not None
                        return Heard.EVERYTHING if followed else Heard.GAP
                elif isinstance(item, peer_changes.Gap):
                    logger.info(
                        'changes are missing; reading the store',
                        extra={
                            'host': delegate.host_id,
                            'revision': self._beliefs.revision,
                        },
                    )
                    return Heard.GAP
                else:
                    self._log_lost(delegate, item.detail, heard)
        return heard

    def _take(
        self,
        events: collections.abc.Sequence[kv.WatchEvent],
        progress: kv.WatchProgress,
    ) -> None:
        beliefs = self._beliefs
        beliefs.apply(events)
        beliefs.revision = max(beliefs.revision, progress.revision)
        beliefs.confirm(progress.as_of)

    def _log_lost(
        self, delegate: members.Member, cause: str, heard: Heard
    ) -> None:
        # While the store refuses this host, the other is asked repeatedly.
        again = heard is Heard.NOTHING and self._refused
        logger.log(
            logging.DEBUG if again else logging.INFO,
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
