"""Accounting of the bytes held for callers."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from corianderloft._internal.network import byte_budget
from corianderloft._internal.network import serving

BODIES = byte_budget.Part.BODIES
RESPONSES = byte_budget.Part.RESPONSES
SIZES = byte_budget.Sizes(connections=10, bodies=1000, responses=4000)


def new_budget():
    return byte_budget.ByteBudget(SIZES)


def opened(budget, dropped=None):
    def drop():
        if dropped is not None:
            dropped.append(True)

    return budget.open(drop)


def test_a_part_that_is_full_has_no_room_for_others():
    budget = new_budget()
    first, second = opened(budget), opened(budget)
    assert first.try_reserve(BODIES, 900)
    assert not second.try_reserve(BODIES, 200)
    assert second.try_reserve(BODIES, 100)
    assert second.try_reserve(RESPONSES, 200)


def test_the_only_holder_may_exceed_a_part():
    """Guards against a host that can never serve a large request."""
    budget = new_budget()
    only = opened(budget)
    assert only.try_reserve(BODIES, 3000)
    assert only.try_reserve(BODIES, 3000)
    assert not opened(budget).try_reserve(BODIES, 1)


def test_returned_bytes_are_free_again():
    budget = new_budget()
    first, second = opened(budget), opened(budget)
    assert first.try_reserve(BODIES, 900)
    first.release(BODIES, 500)
    assert second.try_reserve(BODIES, 600)
    first.close()
    second.close()
    assert budget.used(BODIES) == 0


def test_a_client_that_reads_nothing_is_dropped_before_a_slow_one():
    budget = new_budget()
    unread, slow = opened(budget), opened(budget)
    for account in (unread, slow):
        account.reserve_received(RESPONSES, 10**6)
        account.start_waiting(0.0)
    for number in range(100):
        slow.record_progress(2000, number * 0.1)
    assert budget.slowest(RESPONSES, 10.0) is unread


def test_the_client_that_holds_the_most_is_dropped_first():
    budget = new_budget()
    small, large = opened(budget), opened(budget)
    for account, size in ((small, 20000), (large, 40000)):
        account.reserve_received(RESPONSES, size)
        account.start_waiting(0.0)
    assert budget.slowest(RESPONSES, 10.0) is large


def test_a_less_urgent_request_is_dropped_first():
    budget = new_budget()
    urgent, other = opened(budget), opened(budget)
    other.urgency = 3
    for account, size in ((urgent, 40000), (other, 20000)):
        account.reserve_received(RESPONSES, size)
        account.start_waiting(0.0)
    assert budget.slowest(RESPONSES, 10.0) is other


def test_a_client_that_keeps_up_is_not_dropped():
    """Guards against dropping ordinary clients on a busy host."""
    budget = new_budget()
    reader = opened(budget)
    reader.reserve_received(RESPONSES, 8 * 2**20)
    reader.start_waiting(0.0)
    for number in range(100):
        reader.record_progress(10**5, number * 0.1)
    assert budget.slowest(RESPONSES, 10.0) is None


def test_a_request_that_waits_for_its_server_is_not_dropped():
    """Guards against blaming a client for the time of a server."""
    budget = new_budget()
    account = opened(budget)
    account.try_reserve(BODIES, 900)
    account.start_waiting(0.0)
    account.stop_waiting()
    assert budget.slowest(BODIES, 1000.0) is None


def test_a_client_has_time_to_begin():
    budget = new_budget()
    account = opened(budget)
    account.reserve_received(RESPONSES, 8 * 2**20)
    account.start_waiting(5.0)
    assert budget.slowest(RESPONSES, 5.5) is None
    assert budget.slowest(RESPONSES, 6.5) is account


def test_a_dropped_request_gets_no_more_and_is_not_dropped_again():
    budget = new_budget()
    calls = []
    account = opened(budget, calls)
    account.reserve_received(RESPONSES, 8 * 2**20)
    account.start_waiting(0.0)
    account.drop()
    assert calls == [True]
    assert not account.try_reserve(RESPONSES, 1)
    assert budget.slowest(RESPONSES, 10.0) is None


def test_sizes_fit_a_small_host():
    """Guards against parts that exceed the memory, or serve nothing."""
    memory = 128 * 10**6
    sizes = byte_budget.sizes(memory)
    connections = sizes.connections * byte_budget.CONNECTION_BYTES
    joined = 16 * 2**20
    total = sizes.bodies + sizes.responses + connections
    assert byte_budget.PROCESS_BYTES + total <= memory
    assert 43 * 10**6 + total + joined <= memory
    assert sizes.bodies >= 4 * 2**20
    assert sizes.responses >= 16 * 2**20
    assert sizes.connections >= 300


@pytest.mark.parametrize('memory_mb', [128, 136, 150, 200, 300, 552, 4000])
@pytest.mark.parametrize(('process_mb', 'connection'), [(43, 148), (72, 212)])
def test_all_that_clients_can_hold_stays_within_the_memory(
    memory_mb, process_mb, connection
):
    """Guards against bounds that hold one by one and exceed it together."""
    memory = memory_mb * 10**6
    sizes = byte_budget.sizes(memory, process_mb * 10**6, connection * 1024)
    held = sizes.bodies + sizes.responses + byte_budget.EXCEEDING_BYTES
    connections = sizes.connections * connection * 1024
    if sizes.connections > byte_budget.MIN_CONNECTIONS:
        assert process_mb * 10**6 + held + connections <= memory
    else:
        assert (process_mb, memory_mb) in ((72, 128),)


def test_connections_without_a_slot_hold_what_the_backlog_is_counted_for():
    """Guards against connections that wait beside those that are counted."""
    waiting = serving.SMALL_HOST_BACKLOG + 2 * serving.SMALL_HOST_MAX_PENDING
    assert waiting <= 256


def test_connections_are_not_limited_if_the_memory_is_unknown():
    """Guards against a change where the settings state no memory."""
    assert byte_budget.sizes(0).connections > 10**6


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Requests that reserve, return, progress, are dropped and end."""

    def __init__(self):
        super().__init__()
        self.budget = new_budget()
        self.now = 0.0
        self.accounts = []
        self.received = dict.fromkeys(byte_budget.Part, 0)

    parts = st.sampled_from(byte_budget.Part)
    numbers = st.integers(0, 100)
    amounts = st.integers(0, 5000)

    def _pick(self, number):
        return self.accounts[number % len(self.accounts)]

    @stateful.rule(urgency=st.integers(0, 3))
    def open(self, urgency):
        self.accounts.append(opened(self.budget))
        self.accounts[-1].urgency = urgency

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(number=numbers, part=parts, size=amounts)
    def reserve(self, number, part, size):
        account = self._pick(number)
        others = self.budget.used(part) - account.held(part)
        before = account.held(part)
        if account.try_reserve(part, size):
            assert account.held(part) == before + size
            assert not others or self.budget.free(part) >= 0
        else:
            assert account.held(part) == before

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(number=numbers, part=parts, size=amounts)
    def receive(self, number, part, size):
        self._pick(number).reserve_received(part, size)

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(number=numbers, part=parts, size=amounts)
    def release(self, number, part, size):
        self._pick(number).release(part, size)

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(number=numbers)
    def wait(self, number):
        self._pick(number).start_waiting(self.now)

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(number=numbers, size=amounts)
    def progress(self, number, size):
        self._pick(number).record_progress(size, self.now)

    @stateful.rule(seconds=st.floats(0.0, 30.0))
    def advance(self, seconds):
        self.now += seconds

    @stateful.rule(part=parts)
    def drop(self, part):
        account = self.budget.slowest(part, self.now)
        if account is None:
            return
        assert not account.dropped
        assert account.held(part) > 0
        time = account.clearing_time(part, self.now)
        assert time > byte_budget.MAX_CLEARING_S
        for other in self.accounts:
            if not other.dropped and other.urgency >= account.urgency:
                assert other.clearing_time(part, self.now) <= time or (
                    other.urgency > account.urgency
                    and other.clearing_time(part, self.now)
                    <= byte_budget.MAX_CLEARING_S
                )
        account.drop()

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(number=numbers)
    def close(self, number):
        account = self._pick(number)
        account.close()
        self.accounts.remove(account)
        assert not any(account.held(part) for part in byte_budget.Part)

    @stateful.invariant()
    def adds_up(self):
        for part in byte_budget.Part:
            held = [account.held(part) for account in self.accounts]
            assert all(size >= 0 for size in held)
            assert self.budget.used(part) == sum(held)
            assert self.budget.free(part) == (
                self.budget.size(part) - self.budget.used(part)
            )

    def teardown(self):
        for account in self.accounts:
            account.close()
        for part in byte_budget.Part:
            assert self.budget.used(part) == 0


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)
