"""What servers say of themselves in responses: leaving, and Retry-After.

A host that does not listen sends requests to a server that is about to end,
or that cannot take any.
"""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from corianderloft._internal.placement import statements
from corianderloft._internal.platform import headers

SPREAD = statements.RESUME_SPREAD_RATIO


def _statements(on_leaving=lambda: None):
    return statements.Statements('e-1', random.Random(1), on_leaving)


def _read(status=503, **fields):
    listed = [
        (name.replace('_', '-').encode(), value)
        for name, values in fields.items()
        for value in (values if isinstance(values, list) else [values])
    ]
    return headers.PlatformDialect().read_response(status, listed)


def test_a_server_that_leaves_gets_nothing_any_more():
    told = []
    said = _statements(lambda: told.append(1))
    said.record_response(True, None, 1.0)
    said.record_response(False, None, 2.0)
    assert told == [1]
    assert not said.admits(1.0)
    assert not said.admits(1000.0)


def test_a_server_that_refuses_gets_nothing_until_the_end_of_the_time():
    said = _statements()
    said.record_response(False, 4.0, 10.0)
    # A response to an earlier request changes nothing.
    said.record_response(False, None, 11.0)
    assert not any(said.admits(10.0 + step / 10) for step in range(40))
    assert said.admits(14.0 + SPREAD * 4.0)


def test_a_shorter_time_does_not_shorten_a_longer_one():
    said = _statements()
    said.record_response(False, 4.0, 10.0)
    said.record_response(False, 1.0, 11.0)
    assert said.refuses_until == 14.0


def test_after_the_time_one_request_tries_the_server():
    said = _statements()
    said.record_response(False, 4.0, 10.0)
    said.record_sent()
    assert not said.admits(16.0)
    said.record_end()
    assert said.admits(16.0)
    said.record_sent()
    said.record_response(False, None, 16.5)
    assert said.admits(16.5)
    said.record_sent()
    assert said.admits(16.5)


def test_hosts_do_not_come_back_at_the_same_moment():
    first_admitted = set()
    for seed in range(50):
        said = statements.Statements('e', random.Random(seed), lambda: None)
        said.record_response(False, 4.0, 0.0)
        first_admitted.add(
            next(step for step in range(400, 600) if said.admits(step / 100))
        )
    assert len(first_admitted) > 20
    assert min(first_admitted) >= 400


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'4', 4.0),
        (b' 0.25 ', 0.25),
        (b'0', 0.0),
        ([b'1', b'3', b'2'], 3.0),
        ([b'nan', b'2'], 2.0),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e9', None),
        (b'1_0', None),
        (b'1, 2', None),
        (b'', None),
        (b'9' * 5000, None),
        (b'Sat, 05 Dec 2026 14:00:00 GMT', None),
    ],
)
def test_only_decimal_seconds_count(value, expected):
    assert _read(retry_after=value).refuses_for == expected


def test_a_time_counts_only_with_the_status_that_turns_a_request_away():
    assert _read(200, retry_after=b'4').refuses_for is None


def test_a_huge_time_is_bounded():
    said = _statements()
    said.record_response(False, 10.0**14, 0.0)
    assert said.refuses_until == statements.MAX_REFUSAL_S


@pytest.mark.parametrize(
    ('value', 'expected'),
    [(b'1', True), (b' 1 ', True), ([b'0', b'1'], True)]
    + [(v, False) for v in (b'0', b'', b'true', b'11', b'-1', b'\xff')],
)
def test_only_the_number_one_says_that_a_server_leaves(value, expected):
    assert _read(200, server_leaving=value).leaving is expected


@hypothesis.given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.one_of(st.none(), st.floats(0, 1e15)),
            st.floats(0, 5),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_a_server_is_never_asked_within_its_time(steps):
    """No sequence of statements makes a host send in a time refused."""
    said = _statements()
    now, refused_until, leaves = 0.0, float('-inf'), False
    for leaving, refuses_for, elapsed, ends in steps:
        now += elapsed
        if said.admits(now):
            assert now >= refused_until
            assert not leaves
            said.record_sent()
        if ends:
            said.record_end()
        said.record_response(leaving, refuses_for, now)
        leaves = leaves or leaving
        if refuses_for is not None:
            time_s = min(refuses_for, statements.MAX_REFUSAL_S)
            refused_until = max(refused_until, now + time_s)
    # It is asked again at some time, whatever it said.
    said.record_end()
    end = now + 2 * statements.MAX_REFUSAL_S
    assert said.admits(end) is not leaves


@hypothesis.given(st.integers(100, 599), st.binary(), st.binary())
def test_no_value_ends_a_request(status, leaving, retry_after):
    head = _read(status, server_leaving=leaving, retry_after=retry_after)
    assert head.refuses_for is None or 0 <= head.refuses_for < 1e16


def test_the_oldest_runs_are_forgotten_if_there_are_many():
    book = statements.StatementBook(random.Random(1), lambda: None)
    first = book.of(('e', 0))
    first.record_response(True, None, 0.0)
    for born in range(statements.MAX_KEPT + 10):
        book.of(('e', born + 1))
        assert book.of(('e', 0)) is first
        book.prune()
    assert not book.of(('e', 1)).leaving
