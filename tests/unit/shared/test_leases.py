"""Leases, fencing numbers and orders to engines."""

import random

import pytest
import trio

from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import states
from corianderloft._internal.shared.leases import lease
from corianderloft._internal.shared.orders import interface
from corianderloft._internal.shared.orders import sender
from corianderloft._internal.shared.orders import services
from tests.lib import fake_kv

TTL = 15.0
BACKEND = backends.Backend('e1', 'desk', 's', 'm1', '127.0.0.1', 1, 'fd')


class FakeEngine:
    """Engine that checks fencing numbers or does not."""

    def __init__(self, checks):
        self.checks = checks
        self.fencing = 0
        self.role = 'mixed'
        self.orders = []
        self.flight = 0.0

    async def read_state(self, backend):
        return interface.EngineState(('m1',), (), self.role)

    async def send(self, backend, order, fencing, order_id, timeout):
        await trio.sleep(self.flight)
        if self.checks and fencing < self.fencing:
            return interface.OrderOutcome.STALE_FENCING
        self.fencing = max(self.fencing, fencing)
        self.orders.append((trio.current_time(), fencing, order.target))
        self.role = order.target
        return interface.OrderOutcome.ACCEPTED


class Candidate:
    """A host that wants the lease, with a desired role of its own."""

    def __init__(self, nursery, store, name, engine, role):
        self.kv = fake_kv.FakeKv(store)
        rng = random.Random(name)
        self.lease = lease.Lease(self.kv, 'x', name, TTL, rng)
        support = (
            states.FencingSupport.CHECKED
            if engine.checks
            else states.FencingSupport.IGNORED
        )
        self.sender = sender.OrderSender(
            self.lease,
            engine,
            lambda: [(BACKEND, interface.DesiredState(role=role))],
            lambda: support,
            TTL,
            rng,
        )
        self.scope = trio.CancelScope()
        nursery.start_soon(self._run)

    async def _run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.lease.run)
                nursery.start_soon(self.sender.run)


async def until(holds):
    with trio.fail_after(300):
        while not holds():
            await trio.sleep(0.1)


async def test_one_holder_at_a_time_and_fencing_grows(nursery, autojump_clock):
    store = fake_kv.FakeStore()
    engine = FakeEngine(True)
    candidates = [
        Candidate(nursery, store, f'h{n}', engine, 'role') for n in range(3)
    ]
    numbers = []
    for _ in range(4):
        await until(lambda: any(c.lease.current() for c in candidates))
        holders = [c for c in candidates if c.lease.current()]
        assert len(holders) == 1
        numbers.append(holders[0].lease.current().fencing)
        # Cut off from the service: it must stop before another begins.
        holders[0].kv.down = True
        began = trio.current_time()
        others = [c for c in candidates if c is not holders[0]]
        while not any(c.lease.current() for c in others):
            await trio.sleep(0.1)
            assert trio.current_time() < began + 300
        assert holders[0].lease.current() is None
        holders[0].kv.down = False
    assert numbers == sorted(set(numbers))


async def test_lost_reply_of_taking_the_lease(nursery, autojump_clock):
    store = fake_kv.FakeStore()
    candidate = Candidate(nursery, store, 'h1', FakeEngine(True), 'role')
    candidate.kv.lose_replies = 1
    await until(lambda: candidate.lease.current())
    assert store.calls['grant_lease'] == 1


@pytest.mark.parametrize('checks', [True, False])
async def test_late_order_of_an_old_holder_is_refused_or_repaired(
    nursery, autojump_clock, checks
):
    store = fake_kv.FakeStore()
    engine = FakeEngine(checks)
    old = Candidate(nursery, store, 'h1', engine, 'old')
    await until(lambda: engine.role == 'old')
    number = old.lease.current().fencing
    old.kv.down = True
    Candidate(nursery, store, 'h2', engine, 'new')
    await until(lambda: engine.role == 'new')
    late = interface.Order(interface.OrderKind.SET_ROLE, 'old')
    outcome = await engine.send(BACKEND, late, number, 'late', 5)
    if checks:
        assert outcome is interface.OrderOutcome.STALE_FENCING
    await until(lambda: engine.role == 'new')


async def test_new_holder_waits_out_the_flight_of_old_orders(
    nursery, autojump_clock
):
    store = fake_kv.FakeStore()
    engine = FakeEngine(False)
    old = Candidate(nursery, store, 'h1', engine, 'old')
    await until(lambda: old.lease.current())
    engine.flight = sender.ORDER_TIMEOUT_S - 0.1
    await until(lambda: engine.role == 'old')
    old.kv.down = True
    engine.role = 'changed'
    new = Candidate(nursery, store, 'h2', engine, 'new')
    await until(lambda: engine.role == 'new')
    numbers = [number for _, number, _ in engine.orders]
    assert numbers == sorted(numbers)
    taken_at = new.lease.current().taken_at
    first = next(at for at, _, role in engine.orders if role == 'new')
    assert first >= taken_at + TTL + sender.ORDER_TIMEOUT_S


async def test_no_order_without_time_left_on_the_lease(
    nursery, autojump_clock
):
    candidate = Candidate(
        nursery, fake_kv.FakeStore(), 'h1', FakeEngine(True), 'role'
    )
    await until(lambda: candidate.lease.current())
    until_end = candidate.lease.current().valid_until - trio.current_time()
    assert candidate.lease.current(until_end) is None
    assert candidate.lease.current(until_end - 0.1)


def test_model_that_a_route_names_is_desired():
    template = catalog.ServiceTemplate(
        'desk',
        states.ServiceKind.MODEL,
        (),
        (
            catalog.SupplierRoute('s', 'm2', 1, 1),
            catalog.SupplierRoute('s', 'm3', 1, 0),
            catalog.SupplierRoute('s', 'm1', 0, 0),
        ),
    )
    desired = services.desired_state(template, BACKEND)
    assert desired == interface.DesiredState(models=('m3',))
