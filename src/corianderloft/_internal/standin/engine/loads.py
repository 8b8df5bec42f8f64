"""Load reports that are late by a lag."""

import collections
import dataclasses

import trio

from corianderloft._internal.standin.engine import batch as engine_batch

SAMPLE_INTERVAL = 0.1  # s


@dataclasses.dataclass(frozen=True)
class Sample:
    """Load at one moment, on trio's clock."""

    taken_at: float
    running: int
    waiting: int
    cached_fraction: float


class LoadHistory:
    """Samples of the load, reported after ``lag`` seconds."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._samples: collections.deque[Sample] = collections.deque()

    async def run(self, batch: engine_batch.Batch) -> None:
        """Sample the load, for ever."""
        while True:
            self.sample(batch)
            await trio.sleep(SAMPLE_INTERVAL)

    def sample(self, batch: engine_batch.Batch) -> None:
        """Take one sample, and forget those that are too old to report."""
        self._samples.append(
            Sample(
                trio.current_time(),
                len(batch.running),
                len(batch.waiting),
                batch.cache.fraction,
            )
        )
        horizon = trio.current_time() - self._lag
        while len(self._samples) > 1 and self._samples[1].taken_at <= horizon:
            self._samples.popleft()

    def report(self) -> dict[str, object]:
        """Return the newest sample that is as old as the lag.

        The oldest sample is reported while none is that old.
        """
        sample = self._samples[0]
        return {
            'age_s': trio.current_time() - sample.taken_at,
            'running': sample.running,
            'waiting': sample.waiting,
            'cached_fraction': sample.cached_fraction,
        }
