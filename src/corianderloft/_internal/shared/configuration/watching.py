"""Which hosts watch the key-value service, and how the others make sure.

Two hosts of each failure domain watch and verify; the others learn of
changes from peers and ask the service themselves only when nobody has
verified the configuration for a while. So the calls on the service do not
grow with the fleet.
"""

import collections.abc
import random
import typing

import trio
import xxhash

from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared.configuration import follow
from corianderloft._internal.shared.configuration import freshness
from corianderloft._internal.shared.membership import view

WATCHERS = 2
VERIFY_S = 2.0
VERIFY_DIRECTLY_AFTER_S = 12.0
LONGEST_PAUSE_S = 30.0
CHECK_S = 0.25
SETTLE_S = 1.0
START_PATIENCE_S = 4.0

CHOSEN_S = 1.0
"""Time for which a host must be among the watchers of a view that does not
change before it watches, in seconds: one that is still filling names too
many."""

MOST_SETTLING_S = 4.0
"""Longest wait for a view that goes on changing, in seconds; below the time
after which hosts without a configuration ask the service themselves."""


def rank(members: view.View) -> int:
    """Return the place of this host among the live of its domain, from 0."""
    own = members.own
    own_place = _place(own.host_id)
    return sum(
        _place(host.host_id) < own_place
        for host in members.others(states.HostState.LIVE)
        if host.failure_domain == own.failure_domain
    )


def is_watcher(members: view.View) -> bool:
    """Return whether this host is one of those that watch its domain."""
    return rank(members) < WATCHERS


class Watching:
    """Runs the followers while this host is a watcher.

    Parameters
    ----------
    members : View
        The view of this host.
    configuration : ConfigurationFollower
        Follows the configuration.
    platform : Follower
        Follows the platform's lists.
    evidence : Currency
        What is known of the newest configuration.
    has_state : callable
        Whether this host has a configuration already.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        members: view.View,
        configuration: follow.ConfigurationFollower,
        platform: follow.Follower,
        evidence: freshness.Currency,
        has_state: collections.abc.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._view = members
        self._configuration = configuration
        self._platform = platform
        self._evidence = evidence
        self._has_state = has_state
        self._rng = rng

    async def run(self) -> None:
        """Watch when chosen, and make sure otherwise, until cancelled."""
        await trio.sleep(self._rng.uniform(0.5, 1.0) * SETTLE_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_loop)
            nursery.start_soon(self._verify_loop)
            nursery.start_soon(self._start_without_peers)

    async def _chosen(self) -> None:
        """Return once this host is a watcher of a view that has settled."""
        settled = trio.current_time() + MOST_SETTLING_S
        since, digest = trio.current_time(), self._view.digest()
        while trio.current_time() < since + CHOSEN_S:
            await trio.sleep(CHECK_S)
            now = trio.current_time()
            filling = digest != self._view.digest() and now < settled
            if filling or not is_watcher(self._view):
                since, digest = now, self._view.digest()

    async def _watch_loop(self) -> typing.NoReturn:
        while True:
            await self._chosen()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._configuration.run)
                nursery.start_soon(self._platform.run)
                while is_watcher(self._view):
                    await trio.sleep(CHECK_S)
                nursery.cancel_scope.cancel()

    async def _verify_loop(self) -> typing.NoReturn:
        pause = VERIFY_S
        while True:
            await trio.sleep(self._rng.uniform(0.5, 1.5) * pause)
            age = self._evidence.verified_age()
            if not is_watcher(self._view) and age < VERIFY_DIRECTLY_AFTER_S:
                pause = VERIFY_S
                continue
            if await self._configuration.verify():
                pause = VERIFY_S
            else:
                pause = min(LONGEST_PAUSE_S, pause * 2)

    async def _start_without_peers(self) -> None:
        """Read directly when peers gave nothing for a while after start."""
        pause = START_PATIENCE_S
        while True:
            await trio.sleep(self._rng.uniform(0.5, 1.0) * pause)
            if self._has_state():
                return
            if not is_watcher(self._view):
                await self._configuration.verify()
                await self._platform.read()
            pause = min(LONGEST_PAUSE_S, pause * 2)


def _place(host_id: ids.HostId) -> int:
    return xxhash.xxh64_intdigest(f'watch/{host_id}'.encode())
