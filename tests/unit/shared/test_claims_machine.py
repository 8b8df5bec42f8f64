"""Claims under random sequences of failures.

Guards against a call that runs more than once, or whose response is lost,
when replies are lost, writes arrive late, reads are stale, the key-value
service is unavailable or hosts are killed.
"""

import collections
import random

from hypothesis import stateful
from hypothesis import strategies
import trio

from corianderloft._internal.models import reasons
from corianderloft._internal.models import states
from corianderloft._internal.shared.claims import claims
from corianderloft._internal.shared import interface
from tests.lib import fake_kv
from tests.lib import machines

HOSTS = strategies.integers(0, 2)
KEYS = strategies.sampled_from(['k1', 'k2'])
BODIES = strategies.sampled_from(['b1', 'b1', 'b1', 'b2'])
DURATIONS_S = strategies.sampled_from([0.0, 0.05, 0.5, 2.0])
CLAIM_TTL_S = 3600.0
FAULTS = strategies.sampled_from(
    ['lose_replies', 'lose_requests', 'late_writes', 'stale_reads']
)


class ClaimingHost:
    """A host that claims calls and runs them."""

    def __init__(self, machine, number, store):
        self.machine = machine
        self.number = number
        self.kv = fake_kv.FakeKv(store, latency=0.003)

    async def start(self):
        self.machine.starts += 1
        self.incarnation = self.machine.starts
        host = interface.Host(
            f'h{self.number}', self.incarnation, '', 1, 1, 'fd'
        )
        self.claims = claims.Claims(
            self.kv,
            host,
            CLAIM_TTL_S,
            lambda: 0.01,
            self.machine.is_alive,
            random.Random(self.machine.starts),
        )
        self.nursery = await self.machine.nursery.start(self._run, self.claims)

    async def _run(self, running, task_status):
        async with trio.open_nursery() as nursery:
            task_status.started(nursery)
            await running.run()

    async def call(self, key, body, seconds, timeout):
        """Serve one call like an entry host."""
        with trio.move_on_after(timeout):
            await self._claim_and_run(key, body, seconds)

    async def _claim_and_run(self, key, body, seconds):
        result = await self.claims.claim('w', 's', key, body)
        self.machine.check(key, body, result)
        if not isinstance(result, interface.Claimed):
            return
        if seconds == 0:
            await self.claims.release(result)
            return
        self.machine.runs[key].append(body)
        await trio.sleep(seconds)
        await self.claims.finish(result, 200, 'text/plain', body.encode())
        self.machine.finished.add(key)


class ClaimsMachine(machines.VirtualTimeMachine):
    """Hosts that claim the same keys under injected failures."""

    @stateful.rule(host=HOSTS, key=KEYS, body=BODIES, seconds=DURATIONS_S)
    def call(self, host, key, body, seconds):
        self.step(self._call, host, key, body, seconds, 60.0)

    @stateful.rule(host=HOSTS, key=KEYS, timeout=DURATIONS_S)
    def call_cancelled_by_the_caller(self, host, key, timeout):
        self.step(self._call, host, key, 'b1', 0.0, timeout / 100)

    @stateful.rule(host=HOSTS, fault=FAULTS, count=strategies.integers(1, 3))
    def inject_fault(self, host, fault, count):
        self.step(self._inject_fault, host, fault, count)

    @stateful.rule(host=HOSTS, down=strategies.booleans())
    def cut_off(self, host, down):
        self.step(self._cut_off, host, down)

    @stateful.rule(host=HOSTS)
    def kill(self, host):
        self.step(self._kill, host)

    @stateful.rule(seconds=strategies.sampled_from([0.001, 0.1, 3.0, 10.0]))
    def wait(self, seconds):
        self.step(trio.sleep, seconds)

    async def _call(self, host, key, body, seconds, timeout):
        self.hosts[host].nursery.start_soon(
            self.hosts[host].call, key, body, seconds, timeout
        )

    async def _inject_fault(self, host, fault, count):
        self.late_writes_injected = (
            self.late_writes_injected or fault == 'late_writes'
        )
        setattr(self.hosts[host].kv, fault, count)

    async def _cut_off(self, host, down):
        self.hosts[host].kv.down = down

    async def _kill(self, host):
        self.killed = True
        self.hosts[host].nursery.cancel_scope.cancel()
        await self.hosts[host].start()

    def is_alive(self, host_id, incarnation):
        return any(
            f'h{h.number}' == host_id and h.incarnation == incarnation
            for h in self.hosts
        )

    def check(self, key, body, result):
        """Check the result of one claim against the calls that ran."""
        runs = self.runs[key]
        if isinstance(result, interface.AlreadyDone):
            assert runs == [body]
            assert result.body == body.encode()
        elif not isinstance(result, interface.Claimed):
            if result.reason in (
                reasons.RefusalReason.CLAIM_IN_PROGRESS,
                reasons.RefusalReason.OUTCOME_UNKNOWN,
            ):
                assert result.run is states.RunState.UNKNOWN

    async def check_after_failures(self, key):
        """Check that the response is available and no claim is left over."""
        body = self.runs[key][0] if self.runs[key] else 'b1'
        result = await self.hosts[0].claims.claim('w', 's', key, body)
        if key in self.finished:
            stored = isinstance(result, interface.AlreadyDone)
            # The response is lost if its host is killed during an outage.
            outcome_unknown = (
                result.run is states.RunState.UNKNOWN if not stored else False
            )
            assert stored or (outcome_unknown and self.killed)
        elif (
            not self.runs[key]
            and not self.killed
            and not self.late_writes_injected
        ):
            assert isinstance(result, interface.Claimed)

    async def execute(self):
        self.killed = False
        self.late_writes_injected = False
        self.starts = 0
        self.runs = collections.defaultdict(list)
        self.finished = set()
        store = fake_kv.FakeStore()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.hosts = [ClaimingHost(self, n, store) for n in range(3)]
            for host in self.hosts:
                await host.start()
            await self.run_steps()
            await trio.sleep(120)
            for host in self.hosts:
                host.kv.__init__(store)
            await trio.sleep(30)
            assert all(len(runs) <= 1 for runs in self.runs.values())
            for key in ('k1', 'k2'):
                await self.check_after_failures(key)
            nursery.cancel_scope.cancel()


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = machines.profile_settings(100, 500)
