"""In-memory log of recent store changes, served to other hosts."""

import collections
import collections.abc
import dataclasses

import trio

from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids

MAX_EVENTS = 512
"""Maximum number of keys whose last change is kept: more than 20 s of changes
at 25 per second, far more than the lag of a host that follows this one."""


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes of the store after a given revision.

    Attributes
    ----------
    revision : Revision
        Last revision that the changes cover.
    as_of : float
        Time at which there were no later changes, on `clock.now`, in seconds.
    events : tuple of WatchEvent
        The last change of each key.
    heard_at : float or None
        Time at which the store was up, on `clock.now`, in seconds; None if
        the other host does not state it.
    """

    revision: ids.Revision
    as_of: float
    events: tuple[kv.WatchEvent, ...]
    heard_at: float | None = None


class ChangeLog:
    """Log of the changes that this host received from the store.

    Changes are served to other hosts only while this host watches the store
    itself, so that a host never follows one that follows another. Only the
    last change of each key is kept, as values may be large.
    """

    def __init__(self) -> None:
        self._events: collections.OrderedDict[str, kv.WatchEvent] = (
            collections.OrderedDict()
        )
        self._complete_after = ids.Revision(0)
        self._revision = ids.Revision(0)
        self._as_of = float('-inf')
        self._heard_at = float('-inf')
        self._started = False
        self._watches_store = False
        self._progress = trio.Event()

    @property
    def watches_store(self) -> bool:
        """Whether this host watches the store itself."""
        return self._watches_store

    @property
    def era(self) -> ids.Era:
        """Era of the store that the newest changes are of."""
        return eras.era_of(self._revision)

    def reset(self, revision: ids.Revision, as_of: float) -> None:
        """Start a new log after a read of the whole store.

        Parameters
        ----------
        revision : Revision
            Store revision of the read.
        as_of : float
            When the read was sent, on `clock.now`, in seconds.
        """
        self._events.clear()
        self._complete_after = revision
        self._revision = revision
        self._started = True
        self._watches_store = True
        self._advance(kv.WatchProgress(revision, as_of))

    def resume(
        self,
        known_revision: ids.Revision,
        events: collections.abc.Iterable[kv.WatchEvent],
        progress: kv.WatchProgress,
    ) -> bool:
        """Continue the log after a read of the whole store.

        Returns False if the log does not reach up to the state that the
        events start from.

        Parameters
        ----------
        known_revision : Revision
            Store revision of that state.
        events : iterable of WatchEvent
            Changes from it to the state that was read.
        progress : WatchProgress
            Revision and time of the read.
        """
        if not self._started or self._revision != known_revision:
            return False
        self._watches_store = True
        self.record(events, progress)
        return True

    def record(
        self,
        events: collections.abc.Iterable[kv.WatchEvent],
        progress: kv.WatchProgress,
    ) -> None:
        """Append the changes that a watch of the store delivered."""
        for event in events:
            self._events[event.key] = event
            self._events.move_to_end(event.key)
        while len(self._events) > MAX_EVENTS:
            _, dropped = self._events.popitem(last=False)
            self._complete_after = max(self._complete_after, dropped.revision)
        self._advance(progress)

    def stop(self) -> None:
        """Stop serving changes: the watch of the store has ended."""
        self._watches_store = False
        self._notify_waiters()

    def is_usable(self, revision: ids.Revision) -> bool:
        """Return whether this host watches the store in a revision's era.

        A host of an earlier era gets the changes of the restore with the
        others; one of a later era knows more than this host.
        """
        return self._watches_store and eras.era_of(revision) <= self.era

    def since(self, revision: ids.Revision) -> Changes | None:
        """Return the last change of each key later than ``revision``.

        Returns None if some of them were already dropped, or if the log is
        not usable.
        """
        if not self.is_usable(revision) or revision < self._complete_after:
            return None
        return Changes(
            self._revision,
            self._as_of,
            tuple(e for e in self._events.values() if e.revision > revision),
            self._heard_at,
        )

    async def wait_progress(self) -> None:
        """Wait until the watch makes progress or ends."""
        await self._progress.wait()

    def _advance(self, progress: kv.WatchProgress) -> None:
        self._revision = max(self._revision, progress.revision)
        self._as_of = max(self._as_of, progress.as_of)
        self._heard_at = max(self._heard_at, progress.heard)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._progress.set()
        self._progress = trio.Event()
