"""Servers that accept no connections.

Guards against requests that are refused while sound servers are free: after
several servers had crashed at once, sends that reached none of them used up
the retry budget, and 171 requests of a few seconds were refused unsent.
"""

import pytest

from corianderloft._internal.gateway import forwarding
from tests.lib import gateway
from tests.lib import ports


def register_crashed(system, count):
    """Register servers at addresses where nothing listens."""
    for number in range(count):
        entry = {'address': f'127.0.0.1:{ports.reserve()}'}
        crashed = type('Crashed', (), {'engine_id': f'x-{number}', 'port': 1})
        system.register(crashed, **entry)


@pytest.mark.parametrize('target', ['/look/1', '/book/1'])
async def test_refused_connections_use_up_no_retry_budget(target):
    async with gateway.running(start=False) as system:
        register_crashed(system, forwarding.MAX_SENDS - 1)
        await system.start_host(retry_ratio=0.0, retry_slack=0.0)
        responses = [await system.request('POST', target) for _ in range(3)]
        assert len(system.runs()) == 3
    assert {response.status for response in responses} == {200}


async def test_a_request_is_refused_as_not_run_if_no_server_is_reached():
    async with gateway.running(engines=(), start=False) as system:
        register_crashed(system, forwarding.MAX_SENDS + 2)
        await system.start_host(retry_ratio=0.0, retry_slack=0.0)
        response = await system.request('POST', '/book/1')
    assert response.status == 503
    assert 'retry-after' in response.headers
