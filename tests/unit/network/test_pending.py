"""Choice among connections that wait for a slot."""

import dataclasses

import pytest

from corianderloft._internal.network import pending

NOW = 1000.0
ASKING, SILENT, GONE = (
    pending.State.ASKING,
    pending.State.SILENT,
    pending.State.GONE,
)


def connection(state, age):
    return pending.Pending(state, NOW - age)


def decide(*waiting, free=0, room=100, starts=100, **options):
    return pending.decide(waiting, free, room, NOW, starts=starts, **options)


def test_clients_that_have_gone_get_no_slot():
    """Guards against slots that only reach clients that have given up."""
    gone = [connection(GONE, age) for age in (0.9, 0.8, 0.7)]
    present = connection(ASKING, 0.2)
    decision = decide(*gone, present, free=1)
    assert decision.serve == [present]
    assert decision.close == gone


def test_a_slot_waits_for_a_request():
    """Guards against silent clients that keep others out."""
    silent, asking = connection(SILENT, 0.2), connection(ASKING, 0.1)
    decision = decide(silent, asking, free=2)
    assert decision.serve == [asking]
    assert not decision.keep
    assert not decision.close


def test_a_silent_connection_is_kept_only_if_there_are_slots():
    silent = connection(SILENT, 1.5)
    assert decide(silent, free=1, starts=0).keep == [silent]
    assert decide(silent).close == [silent]
    asking = connection(ASKING, 0.1)
    assert decide(silent, asking, free=1).close == [silent]


def test_a_request_that_waits_too_long_is_refused():
    """Guards against clients that learn nothing before they give up."""
    old, new = connection(ASKING, 0.31), connection(ASKING, 0.2)
    decision = decide(old, new)
    assert decision.refuse == [old]
    assert decision.lacking == 1
    assert not decide(old, new, max_wait=0.7).refuse


def test_a_request_that_waited_too_long_is_served_if_there_is_a_slot():
    """Guards against refusals that a free slot makes untrue."""
    old = connection(ASKING, 0.31)
    assert decide(old, free=1).serve == [old]


def test_the_oldest_and_the_newest_request_take_turns():
    """Guards against a queue that is as long as the patience of its clients,
    and against clients that are overtaken for ever.
    """
    old, middle, new = (connection(ASKING, age) for age in (0.2, 0.1, 0.0))
    assert decide(middle, new, old, free=2).serve == [old, new]
    assert decide(middle, new, old, free=1, newest_first=True).serve == [new]


def test_requests_that_have_waited_long_come_last():
    """Guards against a slow process that answers who is about to give up."""
    late = [connection(ASKING, age) for age in (1.5, 0.5)]
    fresh = [connection(ASKING, age) for age in (0.2, 0.1)]
    decision = decide(*late, *fresh, free=9, starts=3, max_wait=2.0)
    assert decision.serve == [*fresh, late[0]]
    assert not decision.refuse


def test_no_more_requests_are_begun_than_allowed():
    waiting = [connection(ASKING, age) for age in (0.25, 0.2, 0.1)]
    decision = decide(*waiting, free=3, starts=1)
    assert decision.serve == [waiting[0]]
    assert not decision.refuse


def test_those_beyond_the_room_are_refused_at_once():
    """Guards against connections that are held without a bound."""
    waiting = [connection(ASKING, age) for age in (0.05, 0.04, 0.03)]
    silent = connection(SILENT, 0.01)
    decision = decide(*waiting, silent, room=2)
    assert decision.refuse == waiting[:1]
    assert decision.close == [silent]


@dataclasses.dataclass
class Client:
    """A client that comes back ``pause_s`` after it was answered or not."""

    patience_s: float
    asked_at: float = 0.0
    comes_at: float = 0.0
    answered: int = 0
    given_up: int = 0


def _play(clients, service_s, slots, seconds, pause_s, max_wait):
    """Serve clients in turns of 0.05 s; return when each slot went to one.

    A request takes a slot for ``service_s``, whether or not its client waits.
    """
    taken_at, busy_until = [], [0.0] * slots
    newest_first = False
    for now in (turn * 0.05 for turn in range(int(seconds / 0.05))):
        waiting = {}
        for client in clients:
            if now < client.comes_at:
                continue
            if client.asked_at < client.comes_at:
                client.asked_at = now
            state = ASKING
            if now - client.asked_at >= client.patience_s:
                state, client.comes_at = GONE, now + pause_s
                client.given_up += 1
            waiting[pending.Pending(state, client.asked_at)] = client
        free = [n for n, until in enumerate(busy_until) if until <= now]
        decision = pending.decide(
            waiting,
            len(free),
            64,
            now,
            starts=64,
            newest_first=newest_first,
            max_wait=max_wait,
        )
        newest_first ^= len(decision.serve) % 2 == 1
        for slot, choice in zip(free, decision.serve):
            busy_until[slot] = now + service_s
            taken_at.append(now)
            waiting[choice].answered += 1
            waiting[choice].comes_at = now + service_s + pause_s
        for choice in decision.refuse:
            taken_at.append(now)
            waiting[choice].comes_at = now + pause_s
    return taken_at


@pytest.mark.parametrize('clients', [10, 61, 400])
@pytest.mark.parametrize('patience_s', [0.4, 0.5, 1.0])
@pytest.mark.parametrize(('slots', 'service_s'), [(1, 0.1), (4, 2.0)])
def test_any_number_of_clients_gets_answers_all_the_time(
    clients, patience_s, slots, service_s
):
    """Guards against a host that is ready and takes no connection for 3 s."""
    crowd = [
        Client(patience_s, comes_at=number * 0.01) for number in range(clients)
    ]
    taken = _play(crowd, service_s, slots, 30.0, 0.3, pending.MAX_WAIT_S)
    times = [0.0, *taken, 30.0]
    assert max(b - a for a, b in zip(times, times[1:])) < 1.0
    assert not any(client.given_up for client in crowd)
    served = sum(client.answered for client in crowd)
    assert served >= 0.9 * min(
        slots * 30.0 / (service_s + 0.05),
        clients * 30.0 / (service_s + 0.35),
    )
