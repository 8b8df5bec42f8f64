"""The log of a host whose output cannot be written.

Requests must not suffer: the host ended when the reader of its log had closed
the pipe.
"""

import logging
import os

import trio

from corianderloft._internal.logs import bounded


def _record(text):
    return logging.makeLogRecord({'msg': text})


async def _wait_for_drop(handler):
    with trio.fail_after(10):
        while not handler.dropped:
            await trio.sleep(0.01)


async def test_closed_pipe_drops_lines_and_ends_nothing(nursery):
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    handler = bounded.BoundedHandler(writing)
    nursery.start_soon(handler.run)
    handler.emit(_record('one'))
    await trio.lowlevel.wait_readable(reading)
    assert os.read(reading, 100) == b'one\n'
    os.close(reading)
    handler.emit(_record('two'))
    await _wait_for_drop(handler)
    assert handler.dropped == 1
    nursery.cancel_scope.cancel()
    await handler.drain()
    os.close(writing)


async def test_full_device_drops_lines_and_ends_nothing(nursery):
    with open('/dev/full', 'wb', buffering=0) as device:
        handler = bounded.BoundedHandler(device.fileno())
        nursery.start_soon(handler.run)
        handler.emit(_record('one'))
        await _wait_for_drop(handler)
        nursery.cancel_scope.cancel()
