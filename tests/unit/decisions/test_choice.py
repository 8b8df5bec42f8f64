"""Tests of load balancing, hedging and fair queueing.

Guards against requests sent to slow or failed engines, hedges beyond their
budget, and one workspace that starves the others.
"""

import collections

import trio
import trio.testing

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from tests.lib import decisions as lib

TOKEN_INTERVAL_S = 0.03


async def _stream(
    dispatcher: object, tokens: int, slow: str, served: object
) -> None:
    """Stream an answer; the engine ``slow`` is five times slower."""
    grant = await lib.granted(dispatcher, lib.ticket())
    served[grant.backend.engine_id] += 1
    slowdown = 5 if grant.backend.engine_id == slow else 1
    grant.first_token()
    for _ in range(tokens):
        await trio.sleep(TOKEN_INTERVAL_S * slowdown)
        grant.progress(1)
    grant.close(interface.AttemptEnd.COMPLETE)


async def test_slow_engine_loses_its_load_within_a_second(
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


async def test_only_probes_are_sent_during_an_outage(
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


async def test_hedges_stay_within_their_budget(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(
        engines=4, slots=50, hedge_part=0.05, hedge_burst=100.0
    )
    hedges = 0
    for _ in range(200):
        ticket = lib.ticket()
        grant = await lib.granted(dispatcher, ticket)
        if dispatcher.hedge_after(ticket) is not None:
            other = frozenset({grant.backend.engine_id})
            second = await lib.granted(dispatcher, ticket, other)
            assert second.backend.engine_id != grant.backend.engine_id
            second.close(interface.AttemptEnd.CANCELLED)
            hedges += 1
        grant.progress(25)
        grant.close(interface.AttemptEnd.COMPLETE)
    earned = 0.05 * 25.25 * (200 + hedges) + 100.0
    assert 0 < hedges * 8.25 <= earned


async def test_non_idempotent_call_is_not_hedged() -> None:
    dispatcher = lib.dispatcher(engines=2, hedge_part=0.5)
    for _ in range(20):
        await lib.run_once(dispatcher, lib.ticket())
    assert dispatcher.hedge_after(lib.ticket()) is not None
    assert dispatcher.hedge_after(lib.ticket(idempotent=False)) is None


async def test_burst_of_one_workspace_does_not_starve_others(
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


async def test_request_that_would_miss_its_deadline_is_refused_at_once(
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
        sent_at = trio.current_time()
        refused = await dispatcher.acquire(lib.ticket(wait=3.0))
        assert isinstance(refused, requests.Refused)
        assert refused.reason is reasons.RefusalReason.DEADLINE
        assert trio.current_time() == sent_at
        nursery.cancel_scope.cancel()


async def test_workspaces_share_by_cost_not_by_count(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1)
    order = []

    async def serve(workspace: str, max_tokens: int) -> None:
        ticket = lib.ticket(0, workspace, max_tokens=max_tokens)
        grant = await lib.granted(dispatcher, ticket)
        order.append(workspace)
        await trio.sleep(0.01)
        grant.close(interface.AttemptEnd.COMPLETE)

    async with trio.open_nursery() as nursery:
        for _ in range(30):
            nursery.start_soon(serve, 'wordy', 400)
            nursery.start_soon(serve, 'brief', 40)
    assert order[:24].count('brief') >= 16
