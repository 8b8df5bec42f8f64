"""Continuous batching with slots, a priority queue and preemption.

Each step generates one token for every running job that is prefilled.
"""

import dataclasses
import enum
import itertools

import trio

from corianderloft._internal.standin.engine import cache as engine_cache
from corianderloft._internal.standin.engine import faults
from corianderloft._internal.standin.engine import tokens
from corianderloft._internal.standin import settings as standin_settings

SILENCE_CHECK_INTERVAL_S = 0.02


class JobState(enum.Enum):
    """State of a job."""

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
        Priority; 0 is the highest.
    completion : Completion
        Tokens to generate.
    position : int
        Tokens generated so far; a resumed request starts above 0.
    prompt_tokens : int
        Length of the prompt, in tokens.
    prefix_hashes : tuple of int
        Hashes of the prompt prefixes, shortest first.
    prefill_remaining : int
        Tokens still to be prefilled before the next one is generated.
    sequence_number : int
        Position in the order of arrival; breaks ties of priority.
    state : JobState
        State of the job.
    """

    request_id: str
    priority: int
    completion: tokens.Completion
    position: int = 0
    prompt_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    prefill_remaining: int = 0
    sequence_number: int = 0
    state: JobState = JobState.ACTIVE

    def __post_init__(self) -> None:
        self.send, self.receive = trio.open_memory_channel[int](
            self.completion.length + 1
        )

    def sort_key(self) -> tuple[int, int]:
        """Return the sort key by which queued jobs get slots."""
        return self.priority, self.sequence_number


@dataclasses.dataclass
class Totals:
    """Counters since the start of the engine."""

    requests: int = 0
    finished: int = 0
    cancelled: int = 0
    refused: int = 0
    preempted: int = 0
    prefill_tokens: int = 0
    tokens_generated: int = 0
    tokens_delivered: int = 0


class Batch:
    """Running and waiting jobs.

    Parameters
    ----------
    settings : EngineSettings
        Number of slots, step times and cache size.
    """

    def __init__(self, settings: standin_settings.EngineSettings) -> None:
        self._settings = settings
        self.faults = faults.Faults()
        self.cache = engine_cache.PrefixCache(settings)
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.totals = Totals()
        self._sequence_numbers = itertools.count()
        self._job_added = trio.Event()

    def add(self, job: Job) -> None:
        """Queue a job."""
        job.sequence_number = next(self._sequence_numbers)
        self.waiting.append(job)
        self.totals.requests += 1
        self._job_added.set()

    def remove(self, job: Job, state: JobState = JobState.CANCELLED) -> None:
        """Remove an active job; no effect on one that has already ended."""
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
        """Drop all jobs and clear the cache."""
        for job in [*self.running, *self.waiting]:
            self.remove(job, JobState.CRASHED)
        self.cache.clear()

    async def run(self) -> None:
        """Generate tokens step by step, forever."""
        due = trio.current_time()
        while True:
            if not self.running and not self.waiting:
                self._job_added = trio.Event()
                await self._job_added.wait()
                due = trio.current_time()
            self._fill_slots()
            step_time = self._step_time(self._prefill())
            # Steps are timed from the end of the previous one, so that time
            # spent on sending tokens does not slow the engine down.
            due = max(due + step_time, trio.current_time())
            await trio.sleep_until(due)
            while self.faults.silent:
                await trio.sleep(SILENCE_CHECK_INTERVAL_S)
            self._generate()

    def _fill_slots(self) -> None:
        while self.waiting and self._make_room():
            job = min(self.waiting, key=Job.sort_key)
            self.waiting.remove(job)
            self.running.append(job)
            job.prefill_remaining = self._uncached_tokens(job)

    def _make_room(self) -> bool:
        """Return whether the first waiting job can get a slot.

        A waiting job of higher priority preempts the lowest-priority
        running job, which is queued again and keeps its position.
        """
        if len(self.running) < self._settings.slots:
            return True
        lowest = max(self.running, key=Job.sort_key)
        if min(job.priority for job in self.waiting) >= lowest.priority:
            return False
        self.running.remove(lowest)
        self.waiting.append(lowest)
        self.totals.preempted += 1
        return True

    def _uncached_tokens(self, job: Job) -> int:
        """Return the tokens of a job that are not in the prefix cache."""
        cached = self.cache.cached_tokens(job.prefix_hashes)
        return job.prompt_tokens + job.position - cached

    def _prefill(self) -> int:
        """Prefill the next chunk; return the number of prefilled tokens."""
        budget = self._settings.prefill_chunk
        for job in [job for job in self.running if job.prefill_remaining]:
            chunk = min(budget, job.prefill_remaining)
            job.prefill_remaining -= chunk
            budget -= chunk
            if not job.prefill_remaining:
                self.cache.add(job.prefix_hashes)
        done = self._settings.prefill_chunk - budget
        self.totals.prefill_tokens += done
        return done

    def _step_time(self, prefilled_tokens: int) -> float:
        healthy = (
            self._settings.step_time
            + self._settings.step_time_per_request * len(self.running)
            + self._settings.prefill_time_per_token * prefilled_tokens
        )
        return healthy * self.faults.slow_factor

    def _generate(self) -> None:
        for job in [job for job in self.running if not job.prefill_remaining]:
            if job.position < job.completion.length:
                job.position += 1
                self.totals.tokens_generated += 1
                job.send.send_nowait(job.position)
            if job.position >= job.completion.length:
                self.running.remove(job)
                job.state = JobState.FINISHED
                job.send.close()
                self.totals.finished += 1
