"""Recent changes of the store, kept for the hosts that follow this one."""

import collections
import collections.abc
import dataclasses

import trio

from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids

MOST_EVENTS = 512
"""Changes that are kept: more than 20 s of them at 25 a second, far longer
than a host that follows may be behind."""


@dataclasses.dataclass(frozen=True)
class Changes:
    """What happened in the store after some revision.

    Attributes
    ----------
    revision : Revision
        All changes up to it are known.
    as_of : float
        A time at which there were no later ones, on `clock.now`, in seconds.
    events : tuple of WatchEvent
        The changes, in the order in which they were made.
    """

    revision: ids.Revision
    as_of: float
    events: tuple[kv.WatchEvent, ...]


class ChangeLog:
    """What this host heard from the store lately.

    It answers other hosts only while this host asks the store itself, so
    that no host follows one that follows another.
    """

    def __init__(self) -> None:
        self._events: collections.deque[kv.WatchEvent] = collections.deque()
        self._complete_after = ids.Revision(0)
        self._revision = ids.Revision(0)
        self._as_of = float('-inf')
        self._direct = False
        self._progress = trio.Event()

    @property
    def direct(self) -> bool:
        """Whether this host hears from the store itself."""
        return self._direct

    def begin(self, revision: ids.Revision, as_of: float) -> None:
        """Note that the whole store was read.

        Parameters
        ----------
        revision : Revision
            Revision of the store that was read.
        as_of : float
            When the store was asked, on `clock.now`, in seconds.
        """
        self._events.clear()
        self._complete_after = revision
        self._direct = True
        self._advance(revision, as_of)

    def note(
        self,
        events: collections.abc.Iterable[kv.WatchEvent],
        progress: kv.WatchProgress,
    ) -> None:
        """Note what a watch of the store delivered."""
        self._events.extend(events)
        while len(self._events) > MOST_EVENTS:
            self._complete_after = self._events.popleft().revision
        self._advance(progress.revision, progress.as_of)

    def end(self) -> None:
        """Note that this host no longer hears from the store itself."""
        self._direct = False
        self._wake()

    def since(self, revision: ids.Revision) -> Changes | None:
        """Return the changes later than ``revision``.

        None when some of them are not kept any more, or when this host does
        not hear from the store itself.
        """
        if not self._direct or revision < self._complete_after:
            return None
        events = (e for e in self._events if e.revision > revision)
        return Changes(self._revision, self._as_of, tuple(events))

    async def wait_progress(self) -> None:
        """Wait until the store has said something new, or was lost."""
        await self._progress.wait()

    def _advance(self, revision: ids.Revision, as_of: float) -> None:
        self._revision = max(self._revision, revision)
        self._as_of = max(self._as_of, as_of)
        self._wake()

    def _wake(self) -> None:
        self._progress.set()
        self._progress = trio.Event()
