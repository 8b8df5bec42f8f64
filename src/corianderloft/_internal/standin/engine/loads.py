"""Load reports with a configurable delay."""

import collections
import dataclasses

import trio

from corianderloft._internal.standin.engine import batch as engine_batch

SAMPLE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class Sample:
    """Load at one time; ``taken_at`` is in trio's clock time."""

    taken_at: float
    running: int
    waiting: int
    cached_fraction: float


class LoadHistory:
    """Load samples, each reported once it is ``lag`` seconds old."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._samples: collections.deque[Sample] = collections.deque()

    async def run(self, batch: engine_batch.Batch) -> None:
        """Sample the load at regular intervals, forever."""
        while True:
            self.sample(batch)
            await trio.sleep(SAMPLE_INTERVAL_S)

    def sample(self, batch: engine_batch.Batch) -> None:
        """Take one sample and drop those too old to be reported."""
        self._samples.append(
            Sample(
                trio.current_time(),
                len(batch.running),
                len(batch.waiting),
                batch.cache.used_fraction,
            )
        )
        cutoff = trio.current_time() - self._lag
        while len(self._samples) > 1 and self._samples[1].taken_at <= cutoff:
            self._samples.popleft()

    def report(self) -> dict[str, object]:
        """Return the newest sample that is at least as old as the lag.

        Until there is one, the oldest sample is reported.
        """
        sample = self._samples[0]
        return {
            'age_s': trio.current_time() - sample.taken_at,
            'running': sample.running,
            'waiting': sample.waiting,
            'cached_fraction': sample.cached_fraction,
        }
