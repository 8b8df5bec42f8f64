"""Sends priority changes of running requests to engines."""

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

RESPONSE_TIMEOUT_S = 1.0
"""Timeout for the response to a priority change, in seconds."""

MAX_RESPONSE_BYTES = 65536
"""Limit on the response to a priority change, in bytes."""

OpenExchange = collections.abc.Callable[[backends.Backend], outbound.Outbound]

_HEADERS = [(b'content-type', b'application/json')]

_CHANGES = registry.counter(
    'priority_changes_total',
    'Changes of the priority of running jobs sent to engines, by outcome.',
)


class Outcome(enum.Enum):
    """Outcome of a priority change sent to an engine."""

    CHANGED = 'changed'
    FAILED = 'failed'


class PriorityUpdater:
    """Sends priority changes, one at a time per engine.

    Parameters
    ----------
    open_exchange : callable
        Returns a new exchange with a backend server, on a connection that no
        other exchange uses.
    """

    def __init__(self, open_exchange: OpenExchange) -> None:
        self._open_exchange = open_exchange
        self._pending: dict[ids.EngineId, dict[ids.RequestId, int]] = {}
        # Contains each engine at most once, so its length is bounded.
        self._ready_sender, self._ready_receiver = trio.open_memory_channel[
            backends.Backend
        ](math.inf)

    def schedule(
        self,
        backend: backends.Backend,
        request_id: ids.RequestId,
        priority: int,
    ) -> None:
        """Schedule a priority change, replacing an unsent one."""
        pending = self._pending.get(backend.engine_id)
        if pending is None:
            pending = self._pending[backend.engine_id] = {}
            self._ready_sender.send_nowait(backend)
        pending[request_id] = priority

    def discard(
        self, backend: backends.Backend, request_id: ids.RequestId
    ) -> None:
        """Discard the unsent change of a request that has ended."""
        pending = self._pending.get(backend.engine_id)
        if pending is not None:
            pending.pop(request_id, None)

    async def run(self) -> typing.NoReturn:
        """Send scheduled changes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                backend = await self._ready_receiver.receive()
                nursery.start_soon(self._send_pending, backend)

    async def _send_pending(self, backend: backends.Backend) -> None:
        """Send the pending changes of one engine, oldest first."""
        pending = self._pending[backend.engine_id]
        while pending:
            request_id = next(iter(pending))
            outcome = await self._send(
                backend, request_id, pending.pop(request_id)
            )
            _CHANGES.inc({'outcome': outcome.value})
        del self._pending[backend.engine_id]

    async def _send(
        self,
        backend: backends.Backend,
        request_id: ids.RequestId,
        priority: int,
    ) -> Outcome:
        exchange = self._open_exchange(backend)
        message = outbound.Message(
            'PATCH',
            b'/v1/requests/' + request_id.encode('ascii'),
            _HEADERS,
            orjson.dumps({'priority': priority}),
        )
        try:
            head = await exchange.send(message, RESPONSE_TIMEOUT_S)
            if isinstance(head, outbound.Failure):
                return Outcome.FAILED
            body = await exchange.read_all(
                MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT_S
            )
        finally:
            await exchange.close()
        if isinstance(body, outbound.Failure) or head.status != 200:
            return Outcome.FAILED
        return Outcome.CHANGED


def outcome_counts() -> dict[Outcome, int]:
    """Return the number of changes by outcome."""
    return {
        outcome: int(
            typing.cast(float, _CHANGES.get({'outcome': outcome.value}))
        )
        for outcome in Outcome
    }


for _outcome in Outcome:
    _CHANGES.add({'outcome': _outcome.value}, 0)
