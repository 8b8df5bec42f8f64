"""Model of an engine with chunked prefill and continuous batching."""

import collections
import dataclasses
import random
import typing

import trio

from corianderloft._internal.models import instances

SLOTS = 64
NOISE_SLOWDOWN = 2.5  # slowdown by other workloads on the machine
NOISE_RATIO = 0.15  # fraction of the time with noise
NOISE_INTERVAL_S = 0.6  # until the noise changes


@dataclasses.dataclass(frozen=True)
class EngineType:
    """Speed and size of an engine, all unknown to the placer but the memory.

    Attributes
    ----------
    step : float
        Time of one step of an empty batch, in seconds.
    step_per_request : float
        Additional time of a step for each running request, in seconds.
    prefill_rate : float
        Prompt tokens prefilled per second.
    chunk_tokens : int
        Prompt tokens prefilled in one step.
    memory_tokens : int
        Capacity of the KV cache in tokens.
    tokens_per_event : int
        Tokens in one event of a stream.
    slots : int
        Requests that run together.
    limited : bool
        Whether running requests share the memory with the cached parts: if
        it runs out, the newest of the least urgent ones are prefilled again,
        and an engine crashes if the requests it holds exceed `CRASH_RATIO`.
    """

    step: float = 0.00309
    step_per_request: float = 0.000102
    prefill_rate: float = 56_900.0
    chunk_tokens: int = 1024
    memory_tokens: int = 317_282
    tokens_per_event: int = 6
    slots: int = SLOTS
    limited: bool = False


CRASH_RATIO = 1.5  # requests held, relative to the memory
RESTART_S = 2.0  # during which a crashed engine serves nothing

SMALL = EngineType()
LARGE = EngineType(0.00434, 0.000151, 36_700.0, 2048, 462_728, 4)
"""Engine types in the users' specifications."""

SCARCE = EngineType(memory_tokens=220_000, slots=48, limited=True)
"""Memory for 23 prompts of 9,200 tokens with their outputs."""


@dataclasses.dataclass
class Run:
    """One request in an engine.

    Attributes
    ----------
    prompt : Prompt
        The prompt.
    pending_prefill : int
        Uncached prompt tokens still to be prefilled.
    output_tokens : int
        Tokens to generate.
    urgency : int
        Priority; 0 goes first.
    sent_at : float
        When it was sent, on trio's clock.
    event_times : list of float
        When each event was emitted, on trio's clock.
    done, first_event : Event
        Set after the last and after the first event.
    generated : int
        Tokens generated so far.
    cancelled : bool
        Whether the caller has left.
    lost : bool
        Whether the engine crashed.
    """

    prompt: instances.Prompt
    pending_prefill: int
    output_tokens: int
    urgency: int
    sent_at: float
    event_times: list[float] = dataclasses.field(default_factory=list)
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    first_event: trio.Event = dataclasses.field(default_factory=trio.Event)
    generated: int = 0
    cancelled: bool = False
    lost: bool = False


class BatchEngine:
    """Simulates an engine in virtual time.

    Parameters
    ----------
    engine_type : EngineType
        Its speed and size.
    rng : Random
        Source of random numbers.
    slowdown : float
        Factor on the duration of each step; 1 is normal.
    """

    def __init__(
        self,
        engine_type: EngineType,
        rng: random.Random,
        slowdown: float = 1.0,
    ) -> None:
        self._type = engine_type
        self.slowdown = slowdown
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._runs: list[Run] = []
        self._work_added = trio.Event()
        self._rng = rng
        self._noisy = False
        self._noise_until = 0.0
        self.prefilled_tokens = 0
        self.preemptions = 0
        self.crashes = 0
        self.max_held_ratio = 0.0
        self._running: list[Run] = []

    def start(
        self, prompt: instances.Prompt, output_tokens: int, urgency: int
    ) -> Run:
        """Add a request to the batch.

        Parameters
        ----------
        prompt : Prompt
            The prompt.
        output_tokens : int
            Tokens to generate.
        urgency : int
            Priority; 0 goes first.
        """
        run = Run(
            prompt,
            self._uncached_tokens(prompt),
            output_tokens,
            urgency,
            trio.current_time(),
        )
        self._runs.append(run)
        self._work_added.set()
        return run

    async def serve(self) -> typing.NoReturn:
        """Run batches until cancelled."""
        while True:
            self._runs = [r for r in self._runs if not r.cancelled]
            if not self._runs:
                self._work_added = trio.Event()
                await self._work_added.wait()
                continue
            if self._type.limited and self._exceeds_memory():
                await self._crash()
                continue
            await self._step()

    def running(self) -> int:
        """Return the number of requests that occupy slots."""
        return min(len(self._runs), self._type.slots)

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._runs) - self.running()

    def _exceeds_memory(self) -> bool:
        ratio = _held_tokens(self._runs) / self._type.memory_tokens
        self.max_held_ratio = max(self.max_held_ratio, ratio)
        return ratio > CRASH_RATIO

    async def _crash(self) -> None:
        self.crashes += 1
        lost, self._runs, self._running = self._runs, [], []
        self._cached.clear()
        for run in lost:
            run.lost = True
            run.first_event.set()
            run.done.set()
        await trio.sleep(RESTART_S)

    def _within_memory(self, batch: list[Run]) -> list[Run]:
        """Return the requests that run, most urgent ones first.

        Those that do not fit any more are prefilled again later.
        """
        fitting: list[Run] = []
        parts: set[str] = set()
        held = 0
        for run in batch:
            shared = [
                p for p in run.prompt.shared_parts if p.part_id not in parts
            ]
            tokens = run.prompt.unshared_tokens + run.generated
            tokens += sum(part.tokens for part in shared)
            if fitting and held + tokens > self._type.memory_tokens:
                break
            held += tokens
            parts.update(part.part_id for part in shared)
            fitting.append(run)
        kept = {id(run) for run in fitting}
        for run in self._running:
            if (
                id(run) not in kept
                and not run.done.is_set()
                and not run.cancelled
            ):
                self.preemptions += 1
                run.pending_prefill = run.prompt.tokens + run.generated
        self._running = fitting
        return fitting

    async def _step(self) -> None:
        batch = sorted(self._runs, key=lambda r: (r.urgency, r.sent_at))
        batch = batch[: self._type.slots]
        if self._type.limited:
            batch = self._within_memory(batch)
        # Admission is by priority; prefill is so with limited memory only.
        prefilling = [run for run in batch if run.pending_prefill]
        next_prefill = min(
            prefilling,
            key=lambda r: (r.urgency * self._type.limited, r.sent_at),
            default=None,
        )
        decoding = [run for run in batch if not run.pending_prefill]
        duration = self._type.step + self._type.step_per_request * len(
            decoding
        )
        if next_prefill is not None:
            chunk = min(self._type.chunk_tokens, next_prefill.pending_prefill)
            next_prefill.pending_prefill -= chunk
            self.prefilled_tokens += chunk
            duration += chunk / self._type.prefill_rate
        await trio.sleep(duration * self.slowdown * self._noise_slowdown())
        for run in decoding:
            self._advance(run)

    def _noise_slowdown(self) -> float:
        """Return the current slowdown by other workloads on the machine."""
        now = trio.current_time()
        if now >= self._noise_until:
            self._noise_until = now + NOISE_INTERVAL_S
            self._noisy = self._rng.random() < NOISE_RATIO
        return NOISE_SLOWDOWN if self._noisy else 1.0

    def _advance(self, run: Run) -> None:
        run.generated += 1
        last = run.generated >= run.output_tokens
        stride = self._type.tokens_per_event
        if last or run.generated % stride == 0 or run.generated == 1:
            run.event_times.append(trio.current_time())
            run.first_event.set()
        if last:
            run.done.set()
            self._runs.remove(run)

    def _uncached_tokens(self, prompt: instances.Prompt) -> int:
        uncached, hit = prompt.tokens, True
        for part in prompt.parts:
            hit = hit and part.part_id in self._cached
            if hit:
                uncached -= part.tokens
            self._cached[part.part_id] = part.tokens
            self._cached.move_to_end(part.part_id)
        while sum(self._cached.values()) > self._type.memory_tokens:
            self._cached.popitem(last=False)
        return max(1, uncached)


def _held_tokens(runs: list[Run]) -> int:
    """Return the memory of requests, with shared parts counted once."""
    shared = {
        p.part_id: p.tokens for run in runs for p in run.prompt.shared_parts
    }
    own = sum(run.prompt.unshared_tokens + run.generated for run in runs)
    return own + sum(shared.values())
