"""Leases under every order of failures: one holder, numbers that grow."""

from hypothesis import stateful
from hypothesis import strategies
import trio

from tests.lib import fake_kv
from tests.lib import machines
from tests.unit.shared import test_leases

SIZE = 3
HOSTS = strategies.integers(0, SIZE - 1)
FAULTS = strategies.sampled_from(
    ['lose_replies', 'lose_requests', 'late_writes', 'stale_reads']
)
WATCH_S = 0.1


class LeaseMachine(machines.VirtualTimeMachine):
    """Candidates whose service fails in every way."""

    @stateful.rule(host=HOSTS, down=strategies.booleans())
    def cut_off(self, host, down):
        self.step(self._fail, host, 'down', down)

    @stateful.rule(host=HOSTS, fault=FAULTS, count=strategies.integers(1, 3))
    def fail(self, host, fault, count):
        self.step(self._fail, host, fault, count)

    @stateful.rule(seconds=strategies.sampled_from([5.0, 40.0]))
    def cut_off_the_holder(self, seconds):
        self.step(self._cut_off_holder, seconds)

    @stateful.rule(host=HOSTS)
    def kill(self, host):
        self.step(self._kill, host)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 5.0, 20.0, 60.0]))
    def wait(self, seconds):
        self.step(trio.sleep, seconds)

    async def _fail(self, host, fault, value):
        setattr(self.candidates[host].kv, fault, value)

    async def _cut_off_holder(self, seconds):
        for candidate in self.candidates:
            candidate.kv.down = candidate.lease.current() is not None
        await trio.sleep(seconds)

    async def _kill(self, host):
        self.candidates[host].scope.cancel()
        await trio.lowlevel.checkpoint()
        self.candidates[host] = self.candidate(host)

    def candidate(self, number):
        return test_leases.Candidate(
            self.nursery, self.store, f'h{number}', self.engine, 'role'
        )

    async def watch(self):
        """Check all the time that at most one host may act."""
        last = 0
        while True:
            held = [c.lease.current() for c in self.candidates]
            numbers = [h.fencing for h in held if h]
            assert len(numbers) <= 1
            assert all(number >= last for number in numbers)
            last = max([last, *numbers])
            await trio.sleep(WATCH_S)

    async def execute(self):
        self.store = fake_kv.FakeStore()
        self.engine = test_leases.FakeEngine(True)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.candidates = [None] * SIZE
            for number in range(SIZE):
                self.candidates[number] = self.candidate(number)
            nursery.start_soon(self.watch)
            await self.run_steps()
            for candidate in self.candidates:
                candidate.kv.__init__(self.store)
            await test_leases.until(
                lambda: any(c.lease.current() for c in self.candidates)
            )
            nursery.cancel_scope.cancel()


TestLease = LeaseMachine.TestCase
TestLease.settings = machines.sized(60, 500)
