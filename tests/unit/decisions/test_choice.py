"""Tests of the choice of engine, hedges and fairness."""

import collections

import trio
import trio.testing

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from tests.lib import decisions as lib

GAP = 0.03


async def _stream(
    dispatcher: object, tokens: int, slow: str, served: object
) -> None:
    """Stream an answer; ``slow`` is the engine that is five times slower."""
    grant = await lib.granted(dispatcher, lib.ticket())
    served[grant.backend.engine_id] += 1
    factor = 5 if grant.backend.engine_id == slow else 1
    grant.first_token()
    for _ in range(tokens):
        await trio.sleep(GAP * factor)
        grant.progress(1)
    grant.close(interface.AttemptEnd.COMPLETE)


async def test_slowed_engine_loses_its_load_within_a_second(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=6, slots=8)
    served: collections.Counter[str] = collections.Counter()

    async def arrive(seconds: float, slow: str) -> None:
        for _ in range(int(seconds / 0.05)):
            nursery.start_soon(_stream, dispatcher, 40, slow, served)
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        await arrive(3.0, 'none')
        await arrive(1.0, 'engine-2')
        served.clear()
        await arrive(5.0, 'engine-2')
        assert served['engine-2'] <= 4
        served.clear()
        await trio.sleep(60.0)
        await arrive(30.0, 'none')
        assert served['engine-2'] > 20


async def test_in_an_outage_only_trials_go_out(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=6, slots=8)
    attempts = []
    up = trio.Event()

    async def serve() -> None:
        while True:
            outcome = await dispatcher.acquire(lib.ticket())
            assert not isinstance(outcome, requests.Refused)
            attempts.append(trio.current_time())
            if up.is_set():
                outcome.first_token()
                outcome.close(interface.AttemptEnd.COMPLETE)
                return
            outcome.close(interface.AttemptEnd.CONNECT_FAILED)
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        for _ in range(40):
            nursery.start_soon(serve)
        await trio.sleep(10.0)
        assert len(attempts) <= 16
        up.set()
        with trio.fail_after(3.0 + 3.0):
            while len(nursery.child_tasks):
                await trio.sleep(0.1)


async def test_hedges_stay_inside_their_budget(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(
        engines=4, slots=50, hedge_part=0.05, hedge_burst=100.0
    )
    hedges = 0
    for _ in range(200):
        wanted = lib.ticket()
        grant = await lib.granted(dispatcher, wanted)
        if dispatcher.hedge_after(wanted) is not None:
            other = frozenset({grant.backend.engine_id})
            second = await lib.granted(dispatcher, wanted, other)
            assert second.backend.engine_id != grant.backend.engine_id
            second.close(interface.AttemptEnd.CANCELLED)
            hedges += 1
        grant.progress(25)
        grant.close(interface.AttemptEnd.COMPLETE)
    earned = 0.05 * 25.25 * (200 + hedges) + 100.0
    assert 0 < hedges * 8.25 <= earned


async def test_call_that_may_not_repeat_is_not_hedged() -> None:
    dispatcher = lib.dispatcher(engines=2, hedge_part=0.5)
    for _ in range(20):
        await lib.run_once(dispatcher, lib.ticket())
    assert dispatcher.hedge_after(lib.ticket()) is not None
    assert dispatcher.hedge_after(lib.ticket(idempotent=False)) is None


async def test_burst_of_one_workspace_leaves_the_others_their_turn(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1, queue_limit=500)
    order = []

    async def serve(workspace: str) -> None:
        grant = await lib.granted(dispatcher, lib.ticket(0, workspace))
        order.append(workspace)
        await trio.sleep(0.01)
        grant.close(interface.AttemptEnd.COMPLETE)

    async with trio.open_nursery() as nursery:
        for _ in range(100):
            nursery.start_soon(serve, 'bursting')
        await trio.testing.wait_all_tasks_blocked()
        for _ in range(5):
            nursery.start_soon(serve, 'calm')
    assert max(n for n, w in enumerate(order) if w == 'calm') < 20


async def test_request_without_a_chance_is_refused_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1)

    async def serve() -> None:
        grant = await lib.granted(dispatcher, lib.ticket(wait=1000.0))
        await trio.sleep(1.0)
        grant.close(interface.AttemptEnd.COMPLETE)

    async with trio.open_nursery() as nursery:
        for _ in range(30):
            nursery.start_soon(serve)
        await trio.sleep(5.5)
        began = trio.current_time()
        hopeless = await dispatcher.acquire(lib.ticket(wait=3.0))
        assert isinstance(hopeless, requests.Refused)
        assert hopeless.reason is reasons.RefusalReason.DEADLINE
        assert trio.current_time() == began
        nursery.cancel_scope.cancel()


async def test_workspaces_share_by_cost_not_by_count(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1)
    order = []

    async def serve(workspace: str, max_tokens: int) -> None:
        wanted = lib.ticket(0, workspace, max_tokens=max_tokens)
        grant = await lib.granted(dispatcher, wanted)
        order.append(workspace)
        await trio.sleep(0.01)
        grant.close(interface.AttemptEnd.COMPLETE)

    async with trio.open_nursery() as nursery:
        for _ in range(30):
            nursery.start_soon(serve, 'wordy', 400)
            nursery.start_soon(serve, 'brief', 40)
    assert order[:24].count('brief') >= 16
