"""Tests of the plug-in registry."""

import pytest

from corianderloft._internal import kernel


def test_find_returns_the_registered_plugin() -> None:
    balancers = kernel.Registry[str]('balancer')
    balancers.register('round_robin')('plugin')
    assert balancers.find('round_robin') == 'plugin'


def test_unknown_name_suggests_the_closest_match() -> None:
    balancers = kernel.Registry[str]('balancer')
    balancers.register('round_robin')('plugin')
    found = balancers.find('round_robbin')
    assert "did you mean 'round_robin'?" in str(found)


def test_registering_a_name_twice_raises() -> None:
    balancers = kernel.Registry[str]('balancer')
    balancers.register('fifo')('one')
    with pytest.raises(ValueError, match="balancer 'fifo'"):
        balancers.register('fifo')('two')
