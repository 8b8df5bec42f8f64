"""The promises to a caller, over arbitrary rows of engine faults."""

import collections.abc

import hypothesis
from hypothesis import strategies as st
import orjson
import trio

from corianderloft._internal.entry import sse
from tests.lib import engines
from tests.lib import entry

PIECES = st.integers(0, engines.TOKENS - 1)


async def restarts(wire: engines.Wire, seen: engines.Seen) -> None:
    """Serve the whole stream, also to who asks for the rest of it."""
    await wire.head()
    await wire.tokens(1, engines.TOKENS)
    await wire.done()


def cuts(count: int) -> engines.Script:
    """End a stream in good HTTP behind token ``count``."""

    async def script(wire: engines.Wire, seen: engines.Seen) -> None:
        await wire.head()
        await wire.tokens(seen.have + 1, count)
        await wire.send(engines.h11.EndOfMessage())

    return script


def garbles(data: bytes) -> engines.Script:
    """Send bytes that are no events."""

    async def script(wire: engines.Wire, seen: engines.Seen) -> None:
        await wire.head()
        await wire.send(engines.h11.Data(data=data or b'x'))
        await wire.send(engines.h11.EndOfMessage())

    return script


# A good end of a stream is an event, and may end a resumed answer rightly.
NO_EVENTS = st.binary(max_size=40).filter(lambda data: sse.DONE not in data)
REFUSALS = st.sampled_from(
    [
        engines.refuses(503, 'overloaded'),
        engines.refuses(503, 'leaving'),
        engines.refuses(429, 'busy'),
    ]
)
FAULTS = st.one_of(
    REFUSALS,
    PIECES.map(engines.dies_after),
    PIECES.map(cuts),
    NO_EVENTS.map(garbles),
    st.just(engines.refuses(500, 'crash')),
    st.just(engines.silent_after(4)),
)
ENDS = st.sampled_from([engines.serves, restarts, engines.dies_after(3)])
Check = collections.abc.Callable[[entry.Answer, list[engines.Engine]], None]


def _run(scripts: list[engines.Script], check: Check) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            started = [
                await engines.start(nursery, f'e{number}', script)
                for number, script in enumerate(scripts)
            ]
            brief = {'silent_floor': 0.05, 'silent_first_tokens': 1.01}
            listed = [backend for _, backend in started]
            async with entry.running_host(*listed, backends=brief) as fixture:
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


def _told(answer: entry.Answer) -> dict[str, str]:
    """Return the refusal, from a body or from the end of a stream."""
    data = answer.body
    if answer.status == 200:
        last = answer.body.rstrip(b'\n').rpartition(b'\n\n')[2]
        assert last.startswith(b'event: error\ndata: '), answer.body
        data = last.partition(b'data: ')[2]
    return dict(orjson.loads(data)['error'])


@hypothesis.settings(max_examples=60)
@hypothesis.given(st.lists(FAULTS, max_size=3), ENDS)
def test_whole_once_or_truly_refused(
    faults: list[engines.Script], end: engines.Script
) -> None:
    def check(answer: entry.Answer, started: list[engines.Engine]) -> None:
        if answer.body.endswith(engines.DONE):
            assert answer.body == engines.whole_body()
            return
        told = _told(answer)
        tokens = answer.tokens()
        assert tokens == list(range(1, len(tokens) + 1))
        assert (told['run'] == 'ran') == bool(tokens)

    _run([*faults, end], check)


@hypothesis.settings(max_examples=20)
@hypothesis.given(st.lists(REFUSALS, min_size=1, max_size=3))
def test_not_run_is_told_when_every_engine_refuses(
    refusals: list[engines.Script],
) -> None:
    def check(answer: entry.Answer, started: list[engines.Engine]) -> None:
        assert _told(answer)['run'] == 'not_run'

    _run(refusals, check)


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    st.lists(
        st.one_of(
            PIECES.map(engines.dies_after),
            NO_EVENTS.map(garbles),
            st.just(engines.refuses(500, 'crash')),
        ),
        min_size=1,
        max_size=3,
    )
)
@hypothesis.example([garbles(sse.DONE)])
def test_not_run_is_never_told_of_what_ran(
    faults: list[engines.Script],
) -> None:
    def check(answer: entry.Answer, started: list[engines.Engine]) -> None:
        assert any(engine.seen for engine in started)
        assert _told(answer)['run'] != 'not_run'

    _run(faults, check)
