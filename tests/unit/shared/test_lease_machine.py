"""Leases under random sequences of failures.

Guards against two hosts that hold the lease at the same time, and against
fencing numbers that decrease, when replies are lost, writes arrive late,
reads are stale, the key-value service is unavailable or hosts are killed.
"""

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
CHECK_INTERVAL_S = 0.1


class LeaseMachine(machines.VirtualTimeMachine):
    """Candidates whose key-value service fails in various ways."""

    @stateful.rule(host=HOSTS, down=strategies.booleans())
    def set_unavailable(self, host, down):
        self.step(self._set_fault, host, 'down', down)

    @stateful.rule(host=HOSTS, fault=FAULTS, count=strategies.integers(1, 3))
    def inject_fault(self, host, fault, count):
        self.step(self._set_fault, host, fault, count)

    @stateful.rule(seconds=strategies.sampled_from([5.0, 40.0]))
    def isolate_the_holder(self, seconds):
        self.step(self._isolate_holder, seconds)

    @stateful.rule(host=HOSTS)
    def kill(self, host):
        self.step(self._kill, host)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 5.0, 20.0, 60.0]))
    def wait(self, seconds):
        self.step(trio.sleep, seconds)

    async def _set_fault(self, host, fault, value):
        setattr(self.candidates[host].kv, fault, value)

    async def _isolate_holder(self, seconds):
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

    async def check_single_holder(self):
        """Check continuously that at most one host holds the lease."""
        last = 0
        while True:
            held = [c.lease.current() for c in self.candidates]
            fencing_numbers = [h.fencing for h in held if h]
            assert len(fencing_numbers) <= 1
            assert all(number >= last for number in fencing_numbers)
            last = max([last, *fencing_numbers])
            await trio.sleep(CHECK_INTERVAL_S)

    async def execute(self):
        self.store = fake_kv.FakeStore()
        self.engine = test_leases.FakeEngine(True)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.candidates = [None] * SIZE
            for number in range(SIZE):
                self.candidates[number] = self.candidate(number)
            nursery.start_soon(self.check_single_holder)
            await self.run_steps()
            for candidate in self.candidates:
                candidate.kv.__init__(self.store)
            await test_leases.until(
                lambda: any(c.lease.current() for c in self.candidates)
            )
            nursery.cancel_scope.cancel()


TestLease = LeaseMachine.TestCase
TestLease.settings = machines.profile_settings(60, 500)
