"""Tests of the stand-in plain service."""

import httpcore
import pytest
import trio

from corianderloft._internal import standin
from tests.lib import calls

BOOKING = {'booking': 'b1'}


async def test_refused_and_lost_bookings_are_counted_correctly(
    nursery: trio.Nursery,
) -> None:
    port = await nursery.start(
        standin.serve_service, standin.ServiceSettings(service_time=0)
    )
    await calls.set_faults(port, refuse_not_run=1, lose_answers=1)
    refused = await calls.post(port, '/bookings', BOOKING)
    assert refused.status == 503
    assert (b'x-not-run', b'true') in refused.headers
    assert (await calls.get(port, '/bookings'))['bookings'] == {}
    with pytest.raises(httpcore.RemoteProtocolError):
        await calls.post(port, '/bookings', BOOKING)
    assert (await calls.get(port, '/bookings'))['bookings'] == {'b1': 1}
    reply = await calls.post(port, '/bookings', BOOKING)
    assert reply.status == 200
    assert (await calls.get(port, '/control/counts'))['runs'] == 2


async def test_an_unknown_fault_is_refused(nursery: trio.Nursery) -> None:
    port = await nursery.start(
        standin.serve_service, standin.ServiceSettings()
    )
    reply = await calls.post(port, '/control/faults', {'hangs': True})
    assert reply.status == 400
