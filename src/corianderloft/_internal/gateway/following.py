"""Keeps the beliefs of this host in step with the store."""

import collections.abc
import logging
import random
import typing

import trio

from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import view
from corianderloft._internal.gateway import watch_pace
from corianderloft._internal.kv import backoff
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

FIRST_PAUSE = 0.05
LONGEST_PAUSE = 0.5
"""Mean first wait and longest wait between two tries, in seconds; short
because keys are honoured for seconds only without the store."""

HELD_INTERVAL = 0.1
"""Time between two looks for entries that did not come back, in seconds."""

WHOLE_STORE = ''
"""Prefix of one watch over everything, as each waiting watch is a call."""


class Follower:
    """Reads the store once, and then watches it.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    beliefs : View
        Beliefs to keep.
    bounds : callable
        Returns the bounds in force.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        beliefs: view.View,
        bounds: collections.abc.Callable[[], settings.Bounds],
    ) -> None:
        self._store = store
        self._bounds = bounds
        self._beliefs = beliefs
        self._backoff = backoff.Backoff(FIRST_PAUSE, LONGEST_PAUSE)

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
            await self._watch()

    async def drop_held(self) -> typing.NoReturn:
        """Drop entries in time that did not come back after an outage."""
        while True:
            await trio.sleep(HELD_INTERVAL)
            self._beliefs.drop_held()

    async def _watch(self) -> None:
        events: list[kv.WatchEvent] = []
        async with self._store.watch(
            WHOLE_STORE, self._beliefs.revision, self._longest_wait
        ) as items:
            async for item in items:
                if isinstance(item, kv.WatchEvent):
                    events.append(item)
                elif isinstance(item, kv.WatchProgress):
                    self._beliefs.apply(events)
                    self._beliefs.revision = item.revision
                    self._beliefs.confirm(item.as_of)
                    if events:
                        await self._pause()
                    events.clear()
                else:
                    logger.info(
                        'watch ended; reading the store again',
                        extra={'cause': item.detail},
                    )

    def _longest_wait(self) -> float:
        return watch_pace.longest_wait(self._bounds(), self._beliefs)

    async def _pause(self) -> None:
        pause = watch_pace.pause(self._bounds(), self._beliefs)
        await trio.sleep(spread(pause))


def spread(seconds: float) -> float:
    """Return a wait around ``seconds``, so that hosts do not act at once."""
    part = watch_pace.SPREAD
    return random.uniform(1 - part, 1 + part) * seconds
