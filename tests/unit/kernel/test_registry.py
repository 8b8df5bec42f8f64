"""Tests of the registry of plug-ins."""

import pytest

from corianderloft._internal import kernel


def test_find_returns_what_was_registered() -> None:
    balancers = kernel.Registry[str]('balancer')
    balancers.register('round_robin')('plugin')
    assert balancers.find('round_robin') == 'plugin'


def test_unknown_name_says_the_nearest() -> None:
    balancers = kernel.Registry[str]('balancer')
    balancers.register('round_robin')('plugin')
    found = balancers.find('round_robbin')
    assert "did you mean 'round_robin'?" in str(found)


def test_name_registered_twice_is_a_broken_invariant() -> None:
    balancers = kernel.Registry[str]('balancer')
    balancers.register('fifo')('one')
    with pytest.raises(ValueError, match="balancer 'fifo'"):
        balancers.register('fifo')('two')
