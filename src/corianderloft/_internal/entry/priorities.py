"""Tells engines of running jobs whose priority has changed."""

import collections.abc
import enum
import math
import typing

import orjson
import trio

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.network import outbound

ANSWER_TIME = 1.0
"""Longest silence of an engine that is told, in seconds."""

MAX_ANSWER_BYTES = 65536
"""Longest answer to a change of priority."""

Exchange = collections.abc.Callable[[backends.Backend], outbound.Outbound]

_HEADERS = [(b'content-type', b'application/json')]

_CHANGES = registry.counter(
    'priority_changes_total',
    'Changes of the priority of running jobs sent to engines, by outcome.',
)


class Outcome(enum.Enum):
    """What became of a change sent to an engine."""

    CHANGED = 'changed'
    FAILED = 'failed'


class Priorities:
    """Changes of priority on their way, one at a time for each engine.

    Parameters
    ----------
    exchange : callable
        Returns a new exchange with a backend server, not on a connection
        that carries another.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._waiting: dict[ids.EngineId, dict[ids.RequestId, int]] = {}
        # Holds each engine once at most, so its length is bounded.
        self._begin, self._begun = trio.open_memory_channel[backends.Backend](
            math.inf
        )

    def change(
        self,
        backend: backends.Backend,
        request_id: ids.RequestId,
        priority: int,
    ) -> None:
        """Send a priority soon, in place of one that still waits."""
        waiting = self._waiting.get(backend.engine_id)
        if waiting is None:
            waiting = self._waiting[backend.engine_id] = {}
            self._begin.send_nowait(backend)
        waiting[request_id] = priority

    def forget(
        self, backend: backends.Backend, request_id: ids.RequestId
    ) -> None:
        """Drop what still waits of a job that has ended there."""
        waiting = self._waiting.get(backend.engine_id)
        if waiting is not None:
            waiting.pop(request_id, None)

    async def run(self) -> typing.NoReturn:
        """Send all changes for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                backend = await self._begun.receive()
                nursery.start_soon(self._tell, backend)

    async def _tell(self, backend: backends.Backend) -> None:
        """Send what waits for one engine, the oldest job first."""
        waiting = self._waiting[backend.engine_id]
        while waiting:
            request_id = next(iter(waiting))
            outcome = await self._send(
                backend, request_id, waiting.pop(request_id)
            )
            _CHANGES.inc({'outcome': outcome.value})
        del self._waiting[backend.engine_id]

    async def _send(
        self,
        backend: backends.Backend,
        request_id: ids.RequestId,
        priority: int,
    ) -> Outcome:
        exchange = self._exchange(backend)
        message = outbound.Message(
            'PATCH',
            b'/v1/requests/' + request_id.encode('ascii'),
            _HEADERS,
            orjson.dumps({'priority': priority}),
        )
        try:
            head = await exchange.send(message, ANSWER_TIME)
            if isinstance(head, outbound.Failure):
                return Outcome.FAILED
            body = await exchange.read_all(MAX_ANSWER_BYTES, ANSWER_TIME)
        finally:
            await exchange.close()
        if isinstance(body, outbound.Failure) or head.status != 200:
            return Outcome.FAILED
        return Outcome.CHANGED


def counted() -> dict[Outcome, int]:
    """Return how many changes ended in each outcome."""
    return {
        outcome: int(
            typing.cast(float, _CHANGES.get({'outcome': outcome.value}))
        )
        for outcome in Outcome
    }


for _outcome in Outcome:
    _CHANGES.add({'outcome': _outcome.value}, 0)
