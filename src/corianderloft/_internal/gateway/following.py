"""Synchronises the local view with the store, directly or via another host."""

import collections.abc
import contextlib
import enum
import logging
import random
import typing

import trio

from corianderloft._internal.gateway import change_budget
from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import confirmation
from corianderloft._internal.gateway import peer_changes
from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import view
from corianderloft._internal.gateway import watch_pace
from corianderloft._internal.kv import backoff
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import groups
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 0.7
"""Mean first and maximum delay between two tries to read the store. Short, as
a host that was cut must have read the store, and dropped the servers that left
meanwhile, within the recovery time; but no shorter, as the whole fleet retries
when the store refuses every host."""

BACKOFF_MIN_RATIO = 0.5
"""Shortest delay between two tries as a fraction of the longest one, so that
a low limit does not mean many calls."""

FOLLOWER_BACKOFF_FACTOR = 3
"""Backoff multiplier for a host that can poll another host meanwhile."""

PEER_RETRY_INTERVAL_S = 0.3
"""Interval between polls of the group's delegate while the store is
unavailable; the delegate reads the store about twice a second then."""

MIN_POLL_S = peer_changes.LONG_POLL_S + peer_changes.RESPONSE_TIMEOUT_S
"""Time for a poll of the delegate by a host whose view is too old already; the
delegate may hold a poll without changes for the whole time."""

PEER_COOLDOWN_S = 3.0
"""Mean time for which a host follows another one or watches the store itself
after it lost contact with its delegate, before it tries the delegate again.
The entry of a failed delegate stays listed until its lease expires."""

EXPIRY_CHECK_INTERVAL_S = 0.1
"""Interval between checks for entries that were not registered again."""

ALL_KEYS_PREFIX = ''
"""Key prefix of the watch: a single watch covers all keys, as each waiting
watch counts as a call to the store."""


class FollowResult(enum.Enum):
    """Why receiving changes from one source ended.

    LOST means that the source failed after it had sent something, and
    NO_RESPONSE that it failed before. STALE means that what it sent is too
    old, or that it sent nothing for too long.
    """

    SWITCH_SOURCE = 'another source is better, and no change was missed'
    GAP = 'the source does not keep all changes any more'
    STALE = 'the changes from the source are too old'
    LOST = 'the source told something and was lost'
    NO_RESPONSE = 'the source told nothing'


_SOURCE_FAILED = (
    FollowResult.LOST,
    FollowResult.NO_RESPONSE,
    FollowResult.STALE,
)


class Follower(listener.Listener):
    """Receives changes from the store or from another host.

    In a large fleet one host of each group, its delegate, watches the store
    and the other hosts of the group follow it: a waiting watch counts as a
    call, and the store's rate limits do not grow with the fleet.

    Parameters
    ----------
    store : KeyValueClient
        The store.
    local_view : View
        View to keep up to date.
    bounds : callable
        Returns the current bounds.
    own : Member
        Entry of this host.

    Attributes
    ----------
    log : ChangeLog
        Changes received from the store, for the hosts that follow this one.
    """

    def __init__(
        self,
        store: kv.KeyValueClient,
        local_view: view.View,
        bounds: collections.abc.Callable[[], settings.Bounds],
        own: members.Member,
    ) -> None:
        self._store = store
        self._bounds = bounds
        self._view = local_view
        self._own = own
        self._assignment = groups.assign(own, (own,))
        self._failed_until: dict[ids.HostId, float] = {}
        self._store_refused = False
        self._has_read = False
        self._needs_read = True
        self._backoff = backoff.Backoff(
            BACKOFF_BASE_S, BACKOFF_LIMIT_S, BACKOFF_MIN_RATIO
        )
        self.log = change_log.ChangeLog()

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Use a new list of entry hosts."""
        self._assignment = groups.assign(self._own, current)

    def note_store_failure(self, detail: str) -> None:
        """Record that another call of this host to the store failed.

        Ignored while the changes come from another host: the view does not
        depend on the connection of this host to the store then.
        """
        if self.log.watches_store:
            self._view.note_store_failure(detail)

    async def run(self) -> typing.NoReturn:
        """Keep the view up to date until cancelled."""
        while True:
            await self._wait_to_retry()
            if self._needs_read and not await self._read():
                continue
            result = FollowResult.SWITCH_SOURCE
            while result is FollowResult.SWITCH_SOURCE:
                result = await self._receive_changes()
            self._needs_read = result is FollowResult.GAP

    async def _read(self) -> bool:
        """Read the whole store; return whether that succeeded."""
        sent_at = clock.now()
        found = await self._store.get_prefix(ALL_KEYS_PREFIX)
        if isinstance(found, kv.Unavailable):
            self._store_refused = True
            self._view.note_store_failure(found.detail)
            return False
        self._note_store_reply()
        self._use_snapshot(found, sent_at)
        if not self._has_read:
            self._has_read = True
            # Hosts that start together register within this time, and then
            # most of them need no watch of their own.
            await self._pause()
        return True

    def _note_store_reply(self) -> None:
        self._store_refused = False
        self._backoff.reset()

    def _use_snapshot(self, found: kv.Found, sent_at: float) -> None:
        """Apply a read of the whole store.

        Hosts that follow this one need not read the store, too, if it has
        missed no change until then.
        """
        events = self._view.changes_to(found)
        self._view.confirm(sent_at)
        known_revision = self._view.revision
        self._view.load(found)
        progress = kv.WatchProgress(found.revision, sent_at)
        if not self.log.resume(known_revision, events, progress):
            self.log.reset(found.revision, sent_at)

    async def expire_missing(self) -> typing.NoReturn:
        """Periodically drop entries still missing after an outage."""
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._view.expire_missing()

    async def _wait_to_retry(self) -> None:
        """Wait before the next call; poll the group's delegate meanwhile.

        The store may refuse this host but serve the delegate.
        """
        delay = self._backoff.next_delay()
        delegate = self._assignment.delegate
        if delegate is None or not self._store_refused:
            await trio.sleep(delay)
            return
        until = trio.current_time() + FOLLOWER_BACKOFF_FACTOR * delay
        while trio.current_time() + PEER_RETRY_INTERVAL_S < until:
            await trio.sleep(PEER_RETRY_INTERVAL_S)
            result = await self._follow(delegate)
            if result is not FollowResult.NO_RESPONSE:
                self._needs_read |= result is FollowResult.GAP
                return
        await trio.sleep_until(until)

    async def _receive_changes(self) -> FollowResult:
        """Receive changes until the source fails or another is better."""
        delegate = self._host_to_follow()
        if delegate is None:
            return await self._watch()
        result = await self._follow(delegate)
        if result not in _SOURCE_FAILED:
            return result
        now = trio.current_time()
        self._failed_until = {
            host_id: until
            for host_id, until in self._failed_until.items()
            if until > now
        }
        self._failed_until[delegate.host_id] = now + jittered(PEER_COOLDOWN_S)
        # No change was missed, so another source can go on from here.
        return FollowResult.SWITCH_SOURCE

    def _host_to_follow(self) -> members.Member | None:
        """Return the host to follow, or None to watch the store.

        If the delegate fails, another one is followed only on a link on which
        the declarations take long to arrive from the store.
        """
        delegate = self._assignment.delegate
        if delegate is None or not change_budget.allows_following(
            self._bounds()
        ):
            return None
        candidates = [delegate]
        if self._transfer_time() > change_budget.READ_S:
            candidates += self._assignment.successors
        now = trio.current_time()
        return next(
            (
                host
                for host in candidates
                if self._failed_until.get(host.host_id, 0.0) <= now
            ),
            None,
        )

    def _transfer_time(self) -> float:
        return change_budget.transfer_time(
            self._view.declaration_bytes, self._own.link_kbps
        )

    async def _watch(self) -> FollowResult:
        result = FollowResult.NO_RESPONSE
        async with self._store.watch(
            ALL_KEYS_PREFIX, self._view.revision, self._max_wait
        ) as items:
            events: list[kv.WatchEvent] = []
            async for item in items:
                if isinstance(item, kv.WatchEvent):
                    events.append(item)
                elif isinstance(item, kv.WatchProgress):
                    result = FollowResult.LOST
                    self._note_store_reply()
                    self._serve_changes()
                    self._apply_changes(events, item)
                    self.log.record(events, item)
                    if self._host_to_follow() is not None:
                        return FollowResult.SWITCH_SOURCE
                    if events:
                        await self._pause()
                    events.clear()
                elif item.resumable:
                    self._note_lost_watch(item, result)
                else:
                    logger.info(
                        'watch ended; reading the store again',
                        extra={'cause': item.detail},
                    )
                    result = FollowResult.GAP
        self.log.stop()
        return result

    def _serve_changes(self) -> None:
        """Serve the changes of a watch that goes on after an interruption."""
        if self.log.watches_store:
            return
        revision = self._view.revision
        progress = kv.WatchProgress(revision, self._view.confirmed_at)
        if not self.log.resume(revision, (), progress):
            self.log.reset(revision, self._view.confirmed_at)

    def _note_lost_watch(
        self, ended: kv.WatchEnded, result: FollowResult
    ) -> None:
        logger.info('watch lost', extra={'cause': ended.detail})
        if result is FollowResult.NO_RESPONSE:
            self._store_refused = True
            self._view.note_store_failure(ended.detail)

    async def _follow(self, delegate: members.Member) -> FollowResult:
        """Receive changes from another host."""
        self.log.stop()
        result = FollowResult.NO_RESPONSE
        events: list[kv.WatchEvent] = []
        timeout = trio.CancelScope()

        def extend(_: int) -> None:
            timeout.deadline = max(
                timeout.deadline,
                trio.current_time() + peer_changes.RESPONSE_TIMEOUT_S,
            )

        items = peer_changes.watch(delegate, self._view.revision, extend)
        async with contextlib.aclosing(items):
            while True:
                with trio.move_on_after(self._poll_time()) as timeout:
                    item = await anext(items, None)
                if timeout.cancelled_caught:
                    return self._leave_stale(delegate)
                if item is None:
                    break
                if isinstance(item, kv.WatchEvent):
                    events.append(item)
                elif isinstance(item, kv.WatchProgress):
                    if result is FollowResult.NO_RESPONSE:
                        logger.info(
                            'following a host',
                            extra={'host': delegate.host_id},
                        )
                        result = FollowResult.LOST
                    self._apply_changes(events, item, delegate.host_id)
                    events.clear()
                    if self._view.heard_age() > self._max_evidence_age():
                        return self._leave_stale(delegate)
                    self._failed_until.pop(delegate.host_id, None)
                    if self._host_to_follow() != delegate:
                        return FollowResult.SWITCH_SOURCE
                elif isinstance(item, peer_changes.Gap):
                    logger.info(
                        'changes are missing; reading the store',
                        extra=eras.log_fields(self._view.revision)
                        | {'host': delegate.host_id},
                    )
                    return FollowResult.GAP
                else:
                    self._log_lost(delegate, item.detail, result)
        return result

    def _max_evidence_age(self) -> float:
        return change_budget.max_evidence_age(self._bounds())

    def _poll_time(self) -> float:
        """Return how long the delegate may take to send something."""
        left = self._max_evidence_age() - self._view.heard_age()
        return left if left > 0 else MIN_POLL_S

    def _leave_stale(self, delegate: members.Member) -> FollowResult:
        logger.info(
            'changes from the host followed are too old; asking the store',
            extra={
                'host': delegate.host_id,
                'limit_s': round(self._max_evidence_age(), 3),
            }
            | self._view.log_fields(),
        )
        return FollowResult.STALE

    def _apply_changes(
        self,
        events: collections.abc.Sequence[kv.WatchEvent],
        progress: kv.WatchProgress,
        source: str = confirmation.STORE,
    ) -> None:
        local_view = self._view
        local_view.advance(progress.revision)
        local_view.apply(events)
        local_view.confirm(progress.as_of, source, progress.heard)

    def _log_lost(
        self, delegate: members.Member, cause: str, result: FollowResult
    ) -> None:
        # While the store refuses this host, the delegate is polled
        # repeatedly; don't log each failure at INFO.
        retrying = result is FollowResult.NO_RESPONSE and self._store_refused
        logger.log(
            logging.DEBUG if retrying else logging.INFO,
            'the host followed is lost; reading the store',
            extra={
                'host': delegate.host_id,
                'cause': cause,
                'age_s': round(self._view.age(), 3),
            },
        )

    def _max_wait(self) -> float:
        if not self.log.watches_store:
            # Find out first whether the store replies.
            return change_budget.MIN_WAIT_S
        return watch_pace.max_wait(
            self._bounds(), self._view, self._is_followed()
        )

    def _is_followed(self) -> bool:
        return self._assignment.is_delegate and change_budget.allows_following(
            self._bounds()
        )

    async def _pause(self) -> None:
        delay = watch_pace.mean_pause(
            self._bounds(),
            self._view,
            self._is_followed(),
            change_budget.excess_time(
                self._view.declaration_bytes,
                self._own.link_kbps,
                self._view.apply_s,
            ),
        )
        await trio.sleep(jittered(delay))


def jittered(seconds: float) -> float:
    """Return ``seconds`` with jitter, so that hosts do not act in lockstep."""
    ratio = change_budget.JITTER_RATIO
    return random.uniform(1 - ratio, 1 + ratio) * seconds
