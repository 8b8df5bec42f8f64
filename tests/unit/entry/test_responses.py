"""Tests of the bounds on kept answers."""

import pytest
import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import checks
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import records
from corianderloft._internal.entry import responses
from tests.lib import engines
from tests.lib import entry


def _answer(number: int) -> responses.Answer:
    origin = entry.origin(f'r{number}')
    call = checks.chat_body(origin, engines.orjson.dumps(entry.BODY))
    assert isinstance(call, calls.ChatCall)
    record = records.Record(origin, 0.0)
    answer = responses.Answer(call, record, kept_bytes=10000)
    answer.take(engines.whole_body())
    return answer


async def test_oldest_are_forgotten_beyond_the_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    size = _answer(0).size
    kept = responses.Answers(kept_time=60.0, kept_bytes=2 * size)
    for number in range(4):
        answer = _answer(number)
        assert kept.add(answer)
        if number == 0:
            answer.running = inflight.Running()
        await trio.sleep(1)
    kept.drop_old()
    workspace = entry.origin().workspace.workspace_id
    found = [n for n in range(4) if kept.find(workspace, f'r{n}')]
    # What runs is never forgotten.
    assert found == [0, 2, 3]
    await trio.sleep(59)
    kept.drop_old()
    assert [n for n in range(4) if kept.find(workspace, f'r{n}')] == [0, 3]


async def test_tokens_never_go_back() -> None:
    answer = _answer(0)
    with pytest.raises(ValueError, match='token 3 came after token 12'):
        answer.take(engines.event(3))
