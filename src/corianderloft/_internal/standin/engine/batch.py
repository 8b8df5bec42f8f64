"""Continuous batching: slots, a queue by priority, one token a step."""

import dataclasses
import enum
import itertools

import trio

from corianderloft._internal.standin.engine import cache as engine_cache
from corianderloft._internal.standin.engine import faults
from corianderloft._internal.standin.engine import tokens
from corianderloft._internal.standin import settings as standin_settings

PAUSE_INTERVAL = 0.02  # s


class JobState(enum.Enum):
    """Where a job stands."""

    ACTIVE = 'active'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'


@dataclasses.dataclass(eq=False)
class Job:
    """One request inside the engine.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    priority : int
        0 is served first.
    answer : Answer
        What it will generate.
    position : int
        Tokens generated so far; a resumed request starts above 0.
    prompt_tokens : int
        Length of the prompt.
    prefix_hashes : tuple of int
        Prefixes of the prompt, shortest first.
    prefill_left : int
        Tokens that must be processed before the next one is generated.
    state : JobState
        Where the job stands.
    """

    request_id: str
    priority: int
    answer: tokens.Answer
    position: int = 0
    prompt_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    prefill_left: int = 0
    order: int = 0
    state: JobState = JobState.ACTIVE

    def __post_init__(self) -> None:
        self.send, self.receive = trio.open_memory_channel[int](
            self.answer.length + 1
        )

    def sort_key(self) -> tuple[int, int]:
        """Return the order in which queued jobs get slots."""
        return self.priority, self.order


@dataclasses.dataclass
class Totals:
    """Counts since the start of the engine."""

    requests: int = 0
    finished: int = 0
    cancelled: int = 0
    refused: int = 0
    preempted: int = 0
    prefill_tokens: int = 0
    tokens_generated: int = 0
    tokens_delivered: int = 0


class Batch:
    """Jobs in slots and jobs that wait.

    Parameters
    ----------
    settings : EngineSettings
        Slots and times.
    """

    def __init__(self, settings: standin_settings.EngineSettings) -> None:
        self._settings = settings
        self.faults = faults.Faults()
        self.cache = engine_cache.PrefixCache(settings)
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.totals = Totals()
        self._order = itertools.count()
        self._arrived = trio.Event()

    def add(self, job: Job) -> None:
        """Queue a job."""
        job.order = next(self._order)
        self.waiting.append(job)
        self.totals.requests += 1
        self._arrived.set()

    def remove(self, job: Job, state: JobState = JobState.CANCELLED) -> None:
        """End a job that has not finished; no effect on one that has."""
        if job.state is not JobState.ACTIVE:
            return
        job.state = state
        jobs = self.running if job in self.running else self.waiting
        jobs.remove(job)
        job.send.close()
        self.totals.cancelled += 1

    def find(self, request_id: str) -> list[Job]:
        """Return the jobs of a request."""
        return [
            job
            for job in itertools.chain(self.running, self.waiting)
            if job.request_id == request_id
        ]

    def crash(self) -> None:
        """Lose all jobs and the cache."""
        for job in [*self.running, *self.waiting]:
            self.remove(job, JobState.CRASHED)
        self.cache.clear()

    async def run(self) -> None:
        """Generate tokens step by step, for ever."""
        due = trio.current_time()
        while True:
            if not self.running and not self.waiting:
                self._arrived = trio.Event()
                await self._arrived.wait()
                due = trio.current_time()
            self._fill_slots()
            step_time = self._step_time(self._prefill())
            # A step counts from the end of the last one, so that the time
            # spent on sending does not slow the engine down.
            due = max(due + step_time, trio.current_time())
            await trio.sleep_until(due)
            while self.faults.silent:
                await trio.sleep(PAUSE_INTERVAL)
            self._generate()

    def _fill_slots(self) -> None:
        while self.waiting and self._room():
            job = min(self.waiting, key=Job.sort_key)
            self.waiting.remove(job)
            self.running.append(job)
            job.prefill_left = self._uncached(job)

    def _room(self) -> bool:
        """Return whether the first waiting job may have a slot.

        A waiting job of a better priority preempts a running one, which
        waits again and keeps its position.
        """
        if len(self.running) < self._settings.slots:
            return True
        worst = max(self.running, key=Job.sort_key)
        if min(job.priority for job in self.waiting) >= worst.priority:
            return False
        self.running.remove(worst)
        self.waiting.append(worst)
        self.totals.preempted += 1
        return True

    def _uncached(self, job: Job) -> int:
        """Return the tokens that the cache does not cover."""
        cached = self.cache.cached_tokens(job.prefix_hashes)
        return job.prompt_tokens + job.position - cached

    def _prefill(self) -> int:
        """Process the next chunk of prompts; return its tokens."""
        left = self._settings.prefill_chunk
        for job in [job for job in self.running if job.prefill_left]:
            taken = min(left, job.prefill_left)
            job.prefill_left -= taken
            left -= taken
            if not job.prefill_left:
                self.cache.add(job.prefix_hashes)
        done = self._settings.prefill_chunk - left
        self.totals.prefill_tokens += done
        return done

    def _step_time(self, prefill: int) -> float:
        healthy = (
            self._settings.step_time
            + self._settings.step_time_per_request * len(self.running)
            + self._settings.prefill_time_per_token * prefill
        )
        return healthy * self.faults.slow_factor

    def _generate(self) -> None:
        for job in [job for job in self.running if not job.prefill_left]:
            if job.position < job.answer.length:
                job.position += 1
                self.totals.tokens_generated += 1
                job.send.send_nowait(job.position)
            if job.position >= job.answer.length:
                self.running.remove(job)
                job.state = JobState.FINISHED
                job.send.close()
                self.totals.finished += 1
