"""Tests of the client of the platform's API against a stand-in."""

import contextlib

import pytest
import trio

from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.models import ids
from corianderloft._internal.platform import api
from corianderloft._internal.standin import http
from corianderloft._internal.utils import clock
from tests.lib import platform_api

TOKEN = ids.FencingNumber((2 << 40) + 7)


@contextlib.asynccontextmanager
async def running(calls_per_s=50.0):
    async with trio.open_nursery() as nursery:
        platform = platform_api.PlatformApi()
        port = await nursery.start(http.serve, platform.app(), 0)
        client = api.PlatformApi('127.0.0.1', port, 'edge-1', calls_per_s)
        yield platform, client
        await client.aclose()
        nursery.cancel_scope.cancel()


def held(valid_for=3.0):
    now = clock.now()
    return interface.Held(TOKEN, now, now + valid_for)


def order(client):
    return client.order_engines('chat', 'cairo-a', 6, True, held())


async def test_calls_name_the_holder_and_its_token():
    async with running() as (platform, client):
        reported = await client.report_usage(7, {'aswan': 3}, held())
        ordered = await order(client)
    assert reported == ordered == interface.Accepted()
    assert {(c.holder, c.token) for c in platform.calls} == {('edge-1', TOKEN)}
    assert [call.body for call in platform.calls] == [
        {'window': 7, 'counts': {'aswan': 3}},
        {'service': 'chat', 'zone': 'cairo-a', 'desired': 6, 'spot': True},
    ]


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (409, interface.NoneAvailable()),
        (429, interface.Rejected(429)),
        (503, interface.Rejected(503)),
    ],
)
async def test_refusals_are_outcomes(status, outcome):
    async with running() as (platform, client):
        platform.status = status
        assert await order(client) == outcome


async def test_silence_and_a_closed_port_are_told_apart():
    """Guards against taking a call that may have arrived as not sent."""
    async with running() as (platform, client):
        platform.status = None
        silent = await client.report_usage(7, {}, held())
    refused = await client.report_usage(7, {}, held())
    assert isinstance(silent, interface.NoReply)
    assert isinstance(refused, interface.NotSent)


async def test_nothing_is_sent_that_the_lease_does_not_outlast():
    async with running() as (platform, client):
        late = held(interface.CALL_TIMEOUT_S)
        outcome = await client.report_usage(7, {}, late)
    assert isinstance(outcome, interface.NotSent)
    assert not platform.calls


async def test_host_frozen_while_it_connects_sends_nothing(monkeypatch):
    """Guards against a call with an old token after the host thaws."""
    async with running() as (platform, client):
        valid = held()
        times = iter([clock.now()])
        monkeypatch.setattr(
            clock, 'now', lambda: next(times, valid.valid_until)
        )
        outcome = await client.report_usage(7, {}, valid)
        await trio.sleep(0.1)
    assert isinstance(outcome, interface.NotSent)
    assert not platform.calls


async def test_calls_stay_below_the_platforms_limit():
    async with running(calls_per_s=10.0) as (platform, client):
        outcomes = [await order(client) for _ in range(12)]
    refused = [o for o in outcomes if isinstance(o, interface.NotSent)]
    assert len(platform.calls) + len(refused) == 12
    assert 1 <= len(platform.calls) < 10
