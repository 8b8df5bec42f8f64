"""Property tests of the guarantees to a caller under engine faults.

A response is complete without duplicate tokens, or is refused with the right
run state.
"""

import collections.abc

import hypothesis
from hypothesis import strategies as st
import orjson
import trio

from corianderloft._internal.entry import sse
from tests.lib import engines
from tests.lib import entry

SHORT_SILENCE = {'silent_floor': 0.05, 'silent_first_tokens': 1.01}
LONG_SILENCE = {'silent_floor': 20.0}
"""Timeouts of a silent engine. The long one is for engines that all answer:
host and engines share this process, and one that runs late must not make an
answer count as lost, after which the host rightly says that it does not know
whether the request ran."""

TOKEN_COUNTS = st.integers(0, engines.TOKENS - 1)


async def restarts(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Send the whole stream even when asked to resume."""
    await wire.head()
    await wire.tokens(1, engines.TOKENS)
    await wire.done()


def ends_after(count: int) -> engines.Script:
    """End the HTTP body properly after token ``count``."""

    async def script(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await wire.head()
        await wire.tokens(seen.last_event_id + 1, count)
        await wire.send(engines.h11.EndOfMessage())

    return script


def sends_garbage(data: bytes) -> engines.Script:
    """Send bytes that are not events."""

    async def script(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await wire.head()
        await wire.send(engines.h11.Data(data=data or b'x'))
        await wire.send(engines.h11.EndOfMessage())

    return script


def repeats(count: int) -> engines.Script:
    """Send the last token of ``count`` twice."""

    async def script(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await wire.head()
        await wire.tokens(seen.last_event_id + 1, count)
        await wire.tokens(max(count, 1), engines.TOKENS)
        await wire.done()

    return script


async def goes_on_after_its_end(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Send more events together with the one that ends the stream."""
    await wire.head()
    rest = engines.whole_body(seen.last_event_id)
    await wire.send(engines.h11.Data(data=rest + engines.event(3)))
    await wire.send(engines.h11.EndOfMessage())


# The final event is excluded: it validly ends a resumed response.
GARBAGE = st.binary(max_size=40).filter(lambda data: sse.DONE not in data)
REFUSALS = st.sampled_from(
    [
        engines.refuses(503, 'overloaded'),
        engines.refuses(503, 'leaving'),
        engines.refuses(429, 'overloaded'),
    ]
)
FAILED_RUNS = st.sampled_from([408, 429, 500, 503]).map(
    lambda status: engines.refuses(status, 'crash')
)
"""Errors that do not state that the request did not run."""

FAULTS = st.one_of(
    REFUSALS,
    TOKEN_COUNTS.map(engines.dies_after),
    TOKEN_COUNTS.map(ends_after),
    GARBAGE.map(sends_garbage),
    FAILED_RUNS,
    st.just(engines.silent_after(4)),
    TOKEN_COUNTS.map(repeats),
    st.just(goes_on_after_its_end),
)
ENDS = st.sampled_from([engines.serves, restarts, engines.dies_after(3)])
Check = collections.abc.Callable[[entry.Answer, list[engines.Engine]], None]


def _run(
    scripts: list[engines.Script],
    check: Check,
    silence: dict[str, float] = SHORT_SILENCE,
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            started = [
                await engines.start(nursery, f'e{number}', script)
                for number, script in enumerate(scripts)
            ]
            listed = [backend for _, backend in started]
            async with entry.running_host(
                *listed, backends=silence
            ) as fixture:
                fixture.shared.catalog = entry.catalog_of(
                    first_token_target=0.05, token_gap_target=0.001
                )
                with trio.fail_after(30):
                    answer = await entry.chat(fixture)
                for grant in fixture.dispatcher.grants[:-1]:
                    assert len(grant.ends) == 1
            check(answer, [engine for engine, _ in started])
            nursery.cancel_scope.cancel()

    trio.run(main)


def _error(answer: entry.Answer) -> dict[str, str]:
    """Return the error from a refusal or from the end of a stream."""
    data = answer.body
    if answer.status == 200:
        last = answer.body.rstrip(b'\n').rpartition(b'\n\n')[2]
        assert last.startswith(b'event: error\ndata: '), answer.body
        data = last.partition(b'data: ')[2]
    return dict(orjson.loads(data)['error'])


@hypothesis.settings(max_examples=60)
@hypothesis.given(st.lists(FAULTS, max_size=3), ENDS)
@hypothesis.example([repeats(4)], engines.serves)
@hypothesis.example([], goes_on_after_its_end)
def test_response_is_complete_or_correctly_refused(
    faults: list[engines.Script], end: engines.Script
) -> None:
    def check(answer: entry.Answer, started: list[engines.Engine]) -> None:
        if answer.body.endswith(engines.DONE):
            assert answer.body == engines.whole_body()
            return
        error = _error(answer)
        tokens = answer.tokens()
        assert tokens == list(range(1, len(tokens) + 1))
        assert (error['run'] == 'ran') == bool(tokens)

    _run([*faults, end], check)


@hypothesis.settings(max_examples=20)
@hypothesis.given(st.lists(REFUSALS, min_size=1, max_size=3))
def test_not_run_is_told_when_every_engine_refuses(
    refusals: list[engines.Script],
) -> None:
    def check(answer: entry.Answer, started: list[engines.Engine]) -> None:
        assert _error(answer)['run'] == 'not_run'

    _run(refusals, check, LONG_SILENCE)


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    st.lists(
        st.one_of(
            TOKEN_COUNTS.map(engines.dies_after),
            GARBAGE.map(sends_garbage),
            FAILED_RUNS,
        ),
        min_size=1,
        max_size=3,
    )
)
@hypothesis.example([sends_garbage(sse.DONE)])
@hypothesis.example([engines.refuses(429, 'crash')])
def test_request_that_ran_is_never_reported_as_not_run(
    faults: list[engines.Script],
) -> None:
    def check(answer: entry.Answer, started: list[engines.Engine]) -> None:
        assert any(engine.seen for engine in started)
        assert _error(answer)['run'] != 'not_run'

    _run(faults, check, LONG_SILENCE)


def test_lost_answers_are_reported_as_unknown() -> None:
    def check(answer: entry.Answer, started: list[engines.Engine]) -> None:
        assert _error(answer)['run'] == 'unknown'

    _run([engines.silent_after(0)] * 2, check)
