"""Counts and rate limits of calls."""

import collections
import collections.abc
import contextlib
import enum

from corianderloft._internal.standin import settings as standin_settings
from corianderloft._internal.utils import token_bucket


class CallKind(enum.Enum):
    """Kinds of calls; a watch counts once however long it waits."""

    READ = 'reads'
    WRITE = 'writes'
    WATCH = 'watches'


class CallLimits:
    """Token buckets for reads and writes, and counts of calls."""

    def __init__(self, settings: standin_settings.KvSettings) -> None:
        reads = token_bucket.TokenBucket(settings.reads_per_second)
        writes = token_bucket.TokenBucket(settings.writes_per_second)
        self._buckets = {
            CallKind.READ: reads,
            CallKind.WATCH: reads,
            CallKind.WRITE: writes,
        }
        self._taken: collections.Counter[CallKind] = collections.Counter()
        self._refused = 0
        self._waiting_watches = 0

    def take(self, kind: CallKind) -> bool:
        """Count one call; False when it is over the limit."""
        if not self._buckets[kind].take():
            self._refused += 1
            return False
        self._taken[kind] += 1
        return True

    @contextlib.contextmanager
    def waiting_watch(self) -> collections.abc.Iterator[None]:
        """Count a watch as waiting while the context lasts."""
        self._waiting_watches += 1
        try:
            yield
        finally:
            self._waiting_watches -= 1

    def counts(self) -> dict[str, int]:
        """Return the counts by name."""
        taken = {kind.value: self._taken[kind] for kind in CallKind}
        return taken | {
            'refused': self._refused,
            'waiting_watches': self._waiting_watches,
        }
