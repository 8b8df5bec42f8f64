"""An engine that reads prompts between the steps of its batch."""

import collections
import dataclasses
import random
import typing

import trio

from corianderloft._internal.models import instances

STEP = 0.00309  # s, of an empty batch; the users' sheets
STEP_PER_REQUEST = 0.000102  # s; the users' sheets
READ_RATE = 56_900.0  # tokens/s; the users' sheets
CHUNK = 1024  # prompt tokens read between two steps; the users' sheets
SLOTS = 64
NOISE = 2.5  # slowdown by neighbours; the users' sheets
NOISE_SHARE = 0.15  # part of the time with noise; the users' sheets
NOISE_TIME = 0.6  # s, until the noise changes; the users' sheets


@dataclasses.dataclass
class Run:
    """One request in an engine.

    Attributes
    ----------
    unread : int
        Prompt tokens that are yet to be read.
    tokens : int
        Tokens that are yet to be generated.
    urgency : int
        Priority; 0 goes first.
    times : list of float
        When each event was made, on trio's clock.
    """

    unread: int
    tokens: int
    urgency: int
    sent_at: float
    times: list[float] = dataclasses.field(default_factory=list)
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    first: trio.Event = dataclasses.field(default_factory=trio.Event)
    made: int = 0
    left: bool = False


class BatchEngine:
    """Runs requests in virtual time.

    Parameters
    ----------
    memory : int
        Tokens that its cache holds.
    stride : int
        Tokens in an event.
    rng : Random
        Source of random numbers.
    slowdown : float
        How long work takes; 1 is usual.
    """

    def __init__(
        self,
        memory: int,
        stride: int,
        rng: random.Random,
        slowdown: float = 1.0,
    ) -> None:
        self._memory = memory
        self._stride = stride
        self.slowdown = slowdown
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._runs: list[Run] = []
        self._more = trio.Event()
        self._rng = rng
        self._noisy = False
        self._noise_until = 0.0
        self.read_tokens = 0

    def start(
        self, prompt: instances.Prompt, tokens: int, urgency: int
    ) -> Run:
        """Let a request run."""
        run = Run(self._uncached(prompt), tokens, urgency, trio.current_time())
        self._runs.append(run)
        self._more.set()
        return run

    async def serve(self) -> typing.NoReturn:
        """Run batches until cancelled."""
        while True:
            self._runs = [r for r in self._runs if not r.left]
            if not self._runs:
                self._more = trio.Event()
                await self._more.wait()
                continue
            await self._step()

    async def _step(self) -> None:
        batch = sorted(self._runs, key=lambda r: (r.urgency, r.sent_at))
        batch = batch[:SLOTS]
        # Priorities decide who is admitted; prompts are read in turn.
        unread = [run for run in batch if run.unread]
        reading = min(unread, key=lambda r: r.sent_at, default=None)
        running = [run for run in batch if not run.unread]
        took = STEP + STEP_PER_REQUEST * len(running)
        if reading is not None:
            chunk = min(CHUNK, reading.unread)
            reading.unread -= chunk
            self.read_tokens += chunk
            took += chunk / READ_RATE
        await trio.sleep(took * self.slowdown * self._noise())
        for run in running:
            self._advance(run)

    def _noise(self) -> float:
        """Return how much neighbours slow the engine just now."""
        now = trio.current_time()
        if now >= self._noise_until:
            self._noise_until = now + NOISE_TIME
            self._noisy = self._rng.random() < NOISE_SHARE
        return NOISE if self._noisy else 1.0

    def _advance(self, run: Run) -> None:
        run.made += 1
        last = run.made >= run.tokens
        if last or run.made % self._stride == 0 or run.made == 1:
            run.times.append(trio.current_time())
            run.first.set()
        if last:
            run.done.set()
            self._runs.remove(run)

    def _uncached(self, prompt: instances.Prompt) -> int:
        unread, held = prompt.tokens, True
        for part in prompt.parts:
            held = held and part.part_id in self._cached
            if held:
                unread -= part.tokens
            self._cached[part.part_id] = part.tokens
            self._cached.move_to_end(part.part_id)
        while sum(self._cached.values()) > self._memory:
            self._cached.popitem(last=False)
        return max(1, unread)
