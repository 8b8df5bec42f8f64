"""Order and ends of streams, with real hosts and engines, short and seeded."""

import pytest
import trio

from tests.soak import streams

SEED = 1
LENGTH_S = 6.0


@pytest.mark.parametrize(
    'trial',
    ['mixed', 'second-404', 'unframed-connections', 'unframed-frozen-host'],
)
def test_streams_keep_their_order_and_end_with_their_last_event(
    trial, tmp_path
):
    answered, broken = trio.run(streams.run, trial, SEED, tmp_path, LENGTH_S)
    assert broken == []
    assert any(stream.complete for stream in answered)
