"""Selects the hosts that watch the key-value service.

Two hosts of each failure domain watch and verify the configuration. The
others learn of changes from peers, and query the service themselves only if
no host has verified the configuration for a while. The number of calls to
the service therefore does not grow with the fleet.
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

WATCHERS_PER_DOMAIN = 2
VERIFY_INTERVAL_S = 2.0
VERIFY_DIRECTLY_AFTER_S = 12.0
MAX_BACKOFF_S = 30.0
CHECK_INTERVAL_S = 0.25
START_DELAY_S = 1.0
FIRST_DIRECT_READ_S = 4.0

STABLE_VIEW_S = 1.0
"""Time for which the view must be unchanged, with this host among its
watchers, before the host starts to watch, in seconds. While a view is still
being populated, too many hosts consider themselves watchers."""

MAX_STABLE_VIEW_WAIT_S = 4.0
"""Maximum time to wait for a stable view, in seconds; below the time after
which hosts without a configuration query the service themselves."""


def rank(members: view.View) -> int:
    """Return the rank of this host among the live hosts of its domain.

    Ranks start at 0 and are ordered by a hash of the host id.
    """
    own = members.own
    own_hash = _rank_hash(own.host_id)
    return sum(
        _rank_hash(host.host_id) < own_hash
        for host in members.others(states.HostState.LIVE)
        if host.failure_domain == own.failure_domain
    )


def is_watcher(members: view.View) -> bool:
    """Return whether this host is one of the watchers of its domain."""
    return rank(members) < WATCHERS_PER_DOMAIN


class WatchManager:
    """Runs the followers while this host is a watcher.

    Parameters
    ----------
    members : View
        This host's view of the members.
    configuration : ConfigurationFollower
        Follows the configuration.
    platform : Follower
        Follows the platform's lists.
    freshness_tracker : FreshnessTracker
        Records when the configuration was verified to be current.
    has_configuration : callable
        Returns whether this host already has a configuration.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        members: view.View,
        configuration: follow.ConfigurationFollower,
        platform: follow.Follower,
        freshness_tracker: freshness.FreshnessTracker,
        has_configuration: collections.abc.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._view = members
        self._configuration = configuration
        self._platform = platform
        self._freshness = freshness_tracker
        self._has_configuration = has_configuration
        self._rng = rng

    async def run(self) -> None:
        """Watch when selected, and verify periodically, until cancelled."""
        await trio.sleep(self._rng.uniform(0.5, 1.0) * START_DELAY_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_loop)
            nursery.start_soon(self._verify_loop)
            nursery.start_soon(self._bootstrap_without_peers)

    async def _wait_until_watcher(self) -> None:
        """Return once this host is a watcher and its view is stable."""
        give_up_at = trio.current_time() + MAX_STABLE_VIEW_WAIT_S
        stable_since, digest = trio.current_time(), self._view.digest()
        while trio.current_time() < stable_since + STABLE_VIEW_S:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            unstable = digest != self._view.digest() and now < give_up_at
            if unstable or not is_watcher(self._view):
                stable_since, digest = now, self._view.digest()

    async def _watch_loop(self) -> typing.NoReturn:
        while True:
            await self._wait_until_watcher()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._configuration.run)
                nursery.start_soon(self._platform.run)
                while is_watcher(self._view):
                    await trio.sleep(CHECK_INTERVAL_S)
                nursery.cancel_scope.cancel()

    async def _verify_loop(self) -> typing.NoReturn:
        backoff = VERIFY_INTERVAL_S
        while True:
            await trio.sleep(self._rng.uniform(0.5, 1.5) * backoff)
            age = self._freshness.verified_age()
            if not is_watcher(self._view) and age < VERIFY_DIRECTLY_AFTER_S:
                backoff = VERIFY_INTERVAL_S
                continue
            if await self._configuration.verify():
                backoff = VERIFY_INTERVAL_S
            else:
                backoff = min(MAX_BACKOFF_S, backoff * 2)

    async def _bootstrap_without_peers(self) -> None:
        """Read from the service if peers provide no configuration."""
        backoff = FIRST_DIRECT_READ_S
        while True:
            await trio.sleep(self._rng.uniform(0.5, 1.0) * backoff)
            if self._has_configuration():
                return
            if not is_watcher(self._view):
                await self._configuration.verify()
                await self._platform.read()
            backoff = min(MAX_BACKOFF_S, backoff * 2)


def _rank_hash(host_id: ids.HostId) -> int:
    return xxhash.xxh64_intdigest(f'watch/{host_id}'.encode())
