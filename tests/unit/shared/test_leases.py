"""Tests for leases, fencing numbers and orders to engines."""

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
from corianderloft._internal.utils import clock
from tests.lib import fake_kv

TTL_S = 15.0
BACKEND = backends.Backend('e1', 'desk', 's', 'm1', '127.0.0.1', 1, 'fd')


@pytest.fixture(autouse=True)
def _mocked_clock(monkeypatch):
    """Let the clock of leases be that of the test."""
    monkeypatch.setattr(clock, 'now', trio.current_time)


class FakeEngine:
    """Engine that optionally checks fencing numbers."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fencing = 0
        self.role = 'mixed'
        self.orders = []
        self.order_delay = 0.0

    async def read_state(self, backend):
        return interface.EngineState(('m1',), (), self.role)

    async def send(self, backend, order, fencing, order_id, timeout):
        await trio.sleep(self.order_delay)
        if self.checks_fencing and fencing < self.fencing:
            return interface.OrderOutcome.STALE_FENCING
        self.fencing = max(self.fencing, fencing)
        self.orders.append((trio.current_time(), fencing, order.target))
        self.role = order.target
        return interface.OrderOutcome.ACCEPTED


class Candidate:
    """A host that competes for the lease, with its own desired role."""

    def __init__(self, nursery, store, name, engine, role):
        self.kv = fake_kv.FakeKv(store)
        rng = random.Random(name)
        self.lease = lease.Lease(self.kv, 'x', name, TTL_S, rng)
        support = (
            states.FencingSupport.CHECKED
            if engine.checks_fencing
            else states.FencingSupport.IGNORED
        )
        self.sender = sender.OrderSender(
            self.lease,
            engine,
            lambda: [(BACKEND, interface.DesiredState(role=role))],
            lambda: support,
            TTL_S,
            rng,
        )
        self.scope = trio.CancelScope()
        nursery.start_soon(self._run)

    async def _run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.lease.run)
                nursery.start_soon(self.sender.run)


async def until(condition):
    with trio.fail_after(300):
        while not condition():
            await trio.sleep(0.1)


async def test_single_holder_and_increasing_fencing_numbers(
    nursery, autojump_clock
):
    store = fake_kv.FakeStore()
    engine = FakeEngine(True)
    candidates = [
        Candidate(nursery, store, f'h{n}', engine, 'role') for n in range(3)
    ]
    fencing_numbers = []
    for _ in range(4):
        await until(lambda: any(c.lease.current() for c in candidates))
        holders = [c for c in candidates if c.lease.current()]
        assert len(holders) == 1
        fencing_numbers.append(holders[0].lease.current().fencing)
        # Without the service, it must lose the lease before another host
        # acquires it.
        holders[0].kv.down = True
        started_at = trio.current_time()
        others = [c for c in candidates if c is not holders[0]]
        while not any(c.lease.current() for c in others):
            await trio.sleep(0.1)
            assert trio.current_time() < started_at + 300
        assert holders[0].lease.current() is None
        holders[0].kv.down = False
    assert fencing_numbers == sorted(set(fencing_numbers))


async def test_lease_is_acquired_despite_a_lost_reply(nursery, autojump_clock):
    store = fake_kv.FakeStore()
    candidate = Candidate(nursery, store, 'h1', FakeEngine(True), 'role')
    candidate.kv.lose_replies = 1
    await until(lambda: candidate.lease.current())
    assert store.calls['grant_lease'] == 1


@pytest.mark.parametrize('checks_fencing', [True, False])
async def test_late_order_of_an_old_holder_is_refused_or_corrected(
    nursery, autojump_clock, checks_fencing
):
    store = fake_kv.FakeStore()
    engine = FakeEngine(checks_fencing)
    old = Candidate(nursery, store, 'h1', engine, 'old')
    await until(lambda: engine.role == 'old')
    old_fencing = old.lease.current().fencing
    old.kv.down = True
    Candidate(nursery, store, 'h2', engine, 'new')
    await until(lambda: engine.role == 'new')
    late = interface.Order(interface.OrderKind.SET_ROLE, 'old')
    outcome = await engine.send(BACKEND, late, old_fencing, 'late', 5)
    if checks_fencing:
        assert outcome is interface.OrderOutcome.STALE_FENCING
    await until(lambda: engine.role == 'new')


async def test_new_holder_waits_for_old_orders_in_flight(
    nursery, autojump_clock
):
    store = fake_kv.FakeStore()
    engine = FakeEngine(False)
    old = Candidate(nursery, store, 'h1', engine, 'old')
    await until(lambda: old.lease.current())
    engine.order_delay = sender.ORDER_TIMEOUT_S - 0.1
    await until(lambda: engine.role == 'old')
    old.kv.down = True
    engine.role = 'changed'
    new = Candidate(nursery, store, 'h2', engine, 'new')
    await until(lambda: engine.role == 'new')
    fencing_numbers = [number for _, number, _ in engine.orders]
    assert fencing_numbers == sorted(fencing_numbers)
    taken_at = new.lease.current().taken_at
    first_order_at = next(at for at, _, role in engine.orders if role == 'new')
    assert first_order_at >= taken_at + TTL_S + sender.ORDER_TIMEOUT_S


async def test_lease_about_to_expire_is_not_usable(nursery, autojump_clock):
    candidate = Candidate(
        nursery, fake_kv.FakeStore(), 'h1', FakeEngine(True), 'role'
    )
    await until(lambda: candidate.lease.current())
    remaining = candidate.lease.current().valid_until - trio.current_time()
    assert candidate.lease.current(remaining) is None
    assert candidate.lease.current(remaining - 0.1)


def test_desired_model_is_that_of_the_first_weighted_route():
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


async def test_a_lease_that_looks_held_is_seldom_read(nursery, autojump_clock):
    # Guards against a read by each candidate each second, and against one
    # that never notices that its copy of the keys is wrong.
    store = fake_kv.FakeStore()
    holder = Candidate(nursery, store, 'h1', FakeEngine(True), 'role')
    await until(holder.lease.current)
    reads = store.calls['get']
    waiting = lease.Lease(
        fake_kv.FakeKv(store),
        'x',
        'h2',
        TTL_S,
        random.Random(1),
        looks_held=lambda: True,
    )
    nursery.start_soon(waiting.run)
    await trio.sleep(20 * TTL_S)
    passes = 20 * TTL_S / (TTL_S / 4)
    assert store.calls['get'] - reads <= passes / lease.MAX_PASSED_READS
    holder.scope.cancel()
    await until(waiting.current)
