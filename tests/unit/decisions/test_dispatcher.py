"""Tests of granting, queueing and refusing requests on one host."""

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from tests.lib import decisions as lib


async def test_requests_beyond_the_slots_are_queued() -> None:
    dispatcher = lib.dispatcher(engines=1, slots=2, limiter='slot_share')
    first = await lib.granted(dispatcher, lib.ticket())
    await lib.granted(dispatcher, lib.ticket())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lib.granted, dispatcher, lib.ticket())
        await trio.testing.wait_all_tasks_blocked()
        assert len(nursery.child_tasks) == 1
        first.close(interface.AttemptEnd.COMPLETE)


async def test_deadline_refusal_is_not_run(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1, limiter='slot_share')
    await lib.granted(dispatcher, lib.ticket())
    refused = await dispatcher.acquire(lib.ticket(wait=1.0))
    assert isinstance(refused, requests.Refused)
    assert refused.reason is reasons.RefusalReason.DEADLINE
    assert refused.run is states.RunState.NOT_RUN


async def test_cancelled_acquire_leaks_no_slot() -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1, limiter='slot_share')
    held = await lib.granted(dispatcher, lib.ticket())
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lib.run_once, dispatcher, lib.ticket())
            await trio.testing.wait_all_tasks_blocked()
            held.close(interface.AttemptEnd.COMPLETE)
            scope.cancel()
    with trio.fail_after(5):
        await lib.granted(dispatcher, lib.ticket())


async def test_leaving_backend_gets_no_new_grants() -> None:
    dispatcher = lib.dispatcher(engines=2, slots=4)
    leaving = lib.backend(0, state=states.BackendState.LEAVING)
    dispatcher.use_backends([leaving, lib.backend(1)])
    grants = [await lib.granted(dispatcher, lib.ticket()) for _ in range(4)]
    assert {g.backend.engine_id for g in grants} == {'engine-1'}


async def test_unknown_service_is_refused() -> None:
    refused = await lib.dispatcher(engines=0).acquire(lib.ticket())
    assert isinstance(refused, requests.Refused)
    assert refused.reason is reasons.RefusalReason.NO_BACKEND


async def test_queue_states_show_length_and_age(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1, limiter='slot_share')
    held = await lib.granted(dispatcher, lib.ticket())
    assert dispatcher.queue_states() == ()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lib.granted, dispatcher, lib.ticket())
        await trio.sleep(3)
        (state,) = dispatcher.queue_states()
        assert (state.waiting, round(state.oldest)) == (1, 3)
        held.close(interface.AttemptEnd.COMPLETE)
    assert dispatcher.queue_states() == ()
