"""Hosts under random sequences of failures.

Guards against hosts that do not converge on the same members and
configuration after the failures end, and against a host whose configuration
goes back to an older revision, for example after a stale read.
"""

from hypothesis import stateful
from hypothesis import strategies
import trio

from tests.lib import fleet as fleets
from tests.lib import machines

SIZE = 5
HOSTS = strategies.integers(0, SIZE - 1)
HEALED_S = 100.0


class FleetMachine(machines.VirtualTimeMachine):
    """Loss, delay, partitions, pauses, kills, outages, stale reads, edits."""

    @stateful.rule(host=HOSTS)
    def replace(self, host):
        self.step(self._replace, host)

    @stateful.rule()
    def edit(self):
        self.step(self._edit)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.2, 0.6]),
        duplicates=strategies.sampled_from([0.0, 0.5]),
        delay=strategies.sampled_from([0.01, 0.5, 3.0]),
    )
    def degrade_network(self, loss, duplicates, delay):
        self.step(self._degrade_network, loss, duplicates, delay)

    @stateful.rule(one=HOSTS, other=HOSTS)
    def partition_one_way(self, one, other):
        self.step(self._partition, [one], [other])

    @stateful.rule(host=HOSTS)
    def isolate(self, host):
        others = [n for n in range(SIZE) if n != host]
        self.step(self._partition, [host], others)
        self.step(self._partition, others, [host])

    @stateful.rule(host=HOSTS)
    def pause(self, host):
        self.step(self._pause, host)

    @stateful.rule(host=HOSTS, stale=strategies.integers(0, 5))
    def fail_service(self, host, stale):
        self.step(self._fail_service, host, stale)

    @stateful.rule(stale_by=strategies.integers(1, 4))
    def outage_then_stale_reads(self, stale_by):
        self.step(self._outage_then_stale_reads, stale_by)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 2.0, 9.0, 30.0]))
    def wait(self, seconds):
        self.step(trio.sleep, seconds)

    def host(self, number):
        return self.fleet.hosts[f'h{number}']

    async def _replace(self, number):
        old = self.fleet.kill(f'h{number}')
        self.killed.append(old)
        if old.address in self.fleet.network.paused:
            self.fleet.network.resume(old.address)
        await self.fleet.start(
            f'h{number}', old.host.failure_domain, ip=old.host.address
        )

    async def _edit(self):
        await self.fleet.edit()

    async def _degrade_network(self, loss, duplicates, delay):
        network = self.fleet.network
        network.loss = loss
        network.duplicates = duplicates
        network.delay = delay

    async def _partition(self, froms, tos):
        self.fleet.network.cut(
            [self.host(n).address for n in froms],
            [self.host(n).address for n in tos],
        )

    async def _pause(self, number):
        address = self.host(number).address
        if address not in self.fleet.network.paused:
            self.fleet.network.pause(address)

    async def _fail_service(self, number, stale):
        self.host(number).kv.down = not stale
        self.host(number).kv.stale_reads = stale
        self.host(number).kv.stale_by = stale

    async def _outage_then_stale_reads(self, stale_by):
        await self.fleet.edit()
        await trio.sleep(5)
        self.fleet.outage(True)
        await trio.sleep(2)
        for host in self.fleet.hosts.values():
            host.kv.stale_reads = 10
            host.kv.stale_by = stale_by
        self.fleet.outage(False)
        await trio.sleep(10)

    def heal(self):
        network = self.fleet.network
        network.cuts.clear()
        network.loss = network.duplicates = 0.0
        network.delay = 0.01
        for address in list(network.paused):
            network.resume(address)
        for host in self.fleet.hosts.values():
            host.kv.down = False
            host.kv.stale_reads = 0

    async def execute(self):
        async with trio.open_nursery() as nursery:
            self.fleet = fleets.Fleet(nursery)
            self.killed = []
            await self.fleet.start_many(SIZE, domains=2)
            await self.run_steps()
            self.heal()
            revision = await self.fleet.edit()
            await self.fleet.settle(revision)
            names = set(self.fleet.hosts)
            await self.fleet.until(
                lambda: all(self.fleet.live(h) == names for h in names)
            )
            all_hosts = [*self.killed, *self.fleet.hosts.values()]
            assert not any(host.reverted() for host in all_hosts)
            nursery.cancel_scope.cancel()


TestFleet = FleetMachine.TestCase
TestFleet.settings = machines.profile_settings(20, 200)
