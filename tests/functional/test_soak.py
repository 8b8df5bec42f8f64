"""A short soak with fixed seeds; longer ones are run by hand."""

import pytest
import trio

from tests.soak import __main__ as soak

LENGTH = 5.0  # s

SEEDS = (0, 3)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_faults(seed, tmp_path):
    script = soak.faults_for(LENGTH)
    played = trio.run(soak.play, seed, tmp_path, script)
    assert played.broken == [], played.log
    assert played.served > len(played.noted) / 4
