"""Tests of the size and age limits on stored responses."""

import pytest
import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import checks
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import records
from corianderloft._internal.entry import responses
from tests.lib import engines
from tests.lib import entry


def _response(number: int) -> responses.ChatResponse:
    origin = entry.origin(f'r{number}')
    call = checks.check_chat_body(origin, engines.orjson.dumps(entry.BODY))
    assert isinstance(call, calls.ChatCall)
    record = records.RequestRecord(origin, 0.0)
    response = responses.ChatResponse(call, record, max_bytes=10000)
    response.append(engines.whole_body())
    return response


async def test_oldest_idle_responses_are_evicted_beyond_the_limit(
    autojump_clock: trio.testing.MockClock,
) -> None:
    size = _response(0).size
    store = responses.ResponseStore(retention_s=60.0, max_idle_bytes=2 * size)
    for number in range(4):
        response = _response(number)
        assert store.add(response)
        if number == 0:
            response.task = inflight.RequestTask()
        await trio.sleep(1)
    store.evict_expired()
    workspace = entry.origin().workspace.workspace_id
    found = [n for n in range(4) if store.find(workspace, f'r{n}')]
    # A response in flight is never evicted.
    assert found == [0, 2, 3]
    await trio.sleep(59)
    store.evict_expired()
    assert [n for n in range(4) if store.find(workspace, f'r{n}')] == [0, 3]


async def test_token_ids_must_not_decrease() -> None:
    response = _response(0)
    with pytest.raises(ValueError, match='token 3 came after token 12'):
        response.append(engines.event(3))
