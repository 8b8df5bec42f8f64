"""Counters and rate limits of calls."""

import collections
import collections.abc
import contextlib
import enum

from corianderloft._internal.standin import settings as standin_settings
from corianderloft._internal.utils import token_bucket


class CallKind(enum.Enum):
    """Kinds of calls; a watch counts once however long it stays open."""

    READ = 'reads'
    WRITE = 'writes'
    WATCH = 'watches'


class CallLimits:
    """Token buckets for reads and writes, and counters of calls."""

    def __init__(self, settings: standin_settings.KvSettings) -> None:
        reads = token_bucket.TokenBucket(settings.reads_per_second)
        writes = token_bucket.TokenBucket(settings.writes_per_second)
        self._buckets = {
            CallKind.READ: reads,
            CallKind.WATCH: reads,
            CallKind.WRITE: writes,
        }
        self._admitted: collections.Counter[CallKind] = collections.Counter()
        self._refused = 0
        self._waiting_watches = 0

    def admit(self, kind: CallKind) -> bool:
        """Count one call; return False if it exceeds the rate limit."""
        if not self._buckets[kind].take():
            self._refused += 1
            return False
        self._admitted[kind] += 1
        return True

    @contextlib.contextmanager
    def waiting_watch(self) -> collections.abc.Iterator[None]:
        """Count a watch as waiting for the duration of the context."""
        self._waiting_watches += 1
        try:
            yield
        finally:
            self._waiting_watches -= 1

    def counts(self) -> dict[str, int]:
        """Return the counters by name."""
        admitted = {kind.value: self._admitted[kind] for kind in CallKind}
        return admitted | {
            'refused': self._refused,
            'waiting_watches': self._waiting_watches,
        }
