"""Servers that run a request and then fail it.

A caller takes some statuses for the promise that its request did not run, and
sends a booking again. Only a server's statement may become this promise.
"""

import itertools

import pytest

from corianderloft._internal.gateway import response_rules
from corianderloft._internal.platform import headers
from tests.lib import gateway

PROMISES = (408, 421, 429, 503)

STATEMENT = [(b'Corianderloft-Not-Executed', b'1')]
SIGNED = [(b'Corianderloft-Response-Signature', b's')]


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_a_booking_that_ran_and_failed_is_not_answered_as_not_run(
    status,
):
    # The answers of servers with 503 were passed on, and callers booked twice.
    async with gateway.running(('error',)) as system:
        system.engines[0].error_status = status
        response = await system.request('POST', '/book/1')
        assert len(system.runs()) == 1
    assert response.status == 502
    assert 'corianderloft-response-signature' not in response.headers
    assert 'retry-after' not in response.headers


@pytest.mark.parametrize('target', ['/look/1', '/quote/1'])
@pytest.mark.parametrize('status', [408, 429, 503])
async def test_a_failed_run_is_repeated_where_that_is_allowed(status, target):
    healthy = 'stream' if target == '/quote/1' else 'whole'
    async with gateway.running(('error', healthy)) as system:
        system.engines[0].error_status = status
        responses = [await system.request('POST', target) for _ in range(4)]
    assert {response.status for response in responses} == {200}


@pytest.mark.parametrize('target', ['/look/1', '/chat/1', '/quote/1'])
async def test_a_failed_run_is_never_answered_as_not_run(target):
    async with gateway.running(('error', 'error')) as system:
        for engine in system.engines:
            engine.error_status = 503
        response = await system.request('POST', target)
        assert system.runs()
    assert response.status == 502


def test_a_status_promises_nothing_without_the_statement_of_the_server():
    dialect = headers.PlatformDialect()
    for status, repeatable in itertools.product(PROMISES, (True, False)):
        plain = dialect.read_response(status, SIGNED)
        stated = dialect.read_response(status, STATEMENT)
        disposition = response_rules.classify(status, plain, repeatable)
        if status != 421:
            assert disposition is response_rules.Disposition.OUTCOME_UNKNOWN
        assert (
            response_rules.classify(status, stated, repeatable)
            is response_rules.Disposition.NOT_RUN
        )
