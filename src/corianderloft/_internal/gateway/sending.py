"""A single attempt to send a request to one backend server."""

import dataclasses
import enum

import trio

from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway.duties import runs
from corianderloft._internal.gateway import routed_request
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import engine_pool
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

CONNECT_TIMEOUT_S = 0.5
"""Timeout for connecting to a backend server. Round trips between zones take
milliseconds, so a connect that takes longer will not succeed."""

MAX_RESPONSE_BYTES = 16 * 2**20
"""Maximum size of a response that is not a stream."""

MISDIRECTED = 421
"""Status of a server that took over the address of another one."""

MAX_STALE_RESPONSES = 3
"""Maximum number of responses to earlier requests that are discarded while
waiting for the response to this one."""


class Progress(enum.Enum):
    """How much of the response to a request arrived."""

    NOTHING = 'nothing'
    HEAD = 'head'
    CONTENT = 'content'


class ResponseEnd(enum.Enum):
    """What tells that a response is complete.

    NONE means that there was no complete response.
    """

    NONE = 'none'
    FRAMING = 'framing'
    CONNECTION = 'connection'


@dataclasses.dataclass(frozen=True)
class SendFailure:
    """The attempt did not yield a usable response.

    Attributes
    ----------
    outcome : AttemptOutcome
        Kind of failure.
    may_have_run : bool
        Whether the backend server may have run the request.
    detail : str
        Cause, for the log.
    disconnected : bool
        Whether the server ended the connection.
    """

    outcome: interface.AttemptOutcome
    may_have_run: bool
    detail: str
    disconnected: bool = False


@dataclasses.dataclass(frozen=True)
class ReceivedHead:
    """Head of the response to this request.

    Attributes
    ----------
    status : int
        HTTP status code.
    head : ResponseHead
        Parsed response headers.
    ends_with_connection : bool
        Whether the body has no length and ends with the connection.
    length : int or None
        Announced length of the body; None if there is none.
    """

    status: int
    head: dialect.ResponseHead
    ends_with_connection: bool = False
    length: int | None = None

    @property
    def end(self) -> ResponseEnd:
        """What tells that the response is complete, once it has ended."""
        if self.ends_with_connection:
            return ResponseEnd.CONNECTION
        return ResponseEnd.FRAMING


class SendAttempt:
    """One attempt on one connection to one backend server.

    Parameters
    ----------
    pool : EnginePool
        Pool of idle connections.
    header_dialect : Dialect
        Parses and builds HTTP headers.
    engine : Engine
        The backend server.
    request : RoutedRequest
        The request.
    run : Run
        Run of the request on the server, which is counted.

    Attributes
    ----------
    run : Run
        The same.
    progress : Progress
        How much of the response arrived.
    may_have_sent : bool
        Whether a part of the request may have been sent.
    """

    def __init__(
        self,
        pool: engine_pool.EnginePool,
        header_dialect: dialect.Dialect,
        engine: engines.Engine,
        request: routed_request.RoutedRequest,
        run: runs.Run,
    ) -> None:
        self.run = run
        self._pool = pool
        self._dialect = header_dialect
        self._engine = engine
        self._request = request
        self._conn: engine_connection.EngineConnection | None = None
        self._fully_read = False
        self.progress = Progress.NOTHING
        self.may_have_sent = False

    async def open(
        self, resume_after: int | None
    ) -> ReceivedHead | SendFailure:
        """Send the request and wait for the head of its response."""
        conn = await self._connection()
        if isinstance(conn, engine_connection.ConnectionFailure):
            return _as_send_failure(conn)
        self._conn = conn
        if not self._engine.in_use:
            return SendFailure(
                interface.AttemptOutcome.WITHDRAWN,
                False,
                'the server has left since it was chosen',
            )
        self.may_have_sent = True
        failure = await conn.send(
            self._request.method,
            self._request.target,
            self._headers(resume_after),
            self._request.body,
        )
        # A server may respond and close before it has read the whole request,
        # so the response is read even after a reset.
        if failure is not None and failure.kind is not RESET:
            return _as_send_failure(failure)
        for _ in range(MAX_STALE_RESPONSES):
            received = await self._read_head(conn)
            if received is not None:
                return received
        return SendFailure(
            interface.AttemptOutcome.BROKEN,
            True,
            'only late answers came',
        )

    async def read(self) -> bytes | SendFailure | None:
        """Return the next chunk of the body; None at its end."""
        assert self._conn is not None
        part = await self._conn.read()
        if isinstance(part, engine_connection.ConnectionFailure):
            return _as_send_failure(part)
        self._fully_read = part is None
        if part:
            self.progress = Progress.CONTENT
        return part

    async def read_all(
        self, reserve: engine_connection.Reserve | None = None
    ) -> bytes | SendFailure:
        """Return the complete body.

        Parameters
        ----------
        reserve : callable, optional
            Awaited with the size of each part before it is kept; returns
            whether there is memory for it.
        """
        assert self._conn is not None
        body = await self._conn.read_all(MAX_RESPONSE_BYTES, reserve)
        if isinstance(body, engine_connection.ConnectionFailure):
            return _as_send_failure(body)
        self._fully_read = True
        return body

    def was_reset(self) -> bool:
        """Return whether the server has reset the connection by now."""
        return self._conn is not None and self._conn.was_reset()

    async def server_is_gone(self) -> bool:
        """Return whether the server accepts no connections any more."""
        conn = await self._connect()
        if isinstance(conn, engine_connection.ConnectionFailure):
            return True
        self._pool.add(self._engine.key, conn)
        return False

    def close(self) -> None:
        """Pool the connection after a complete response, or close it."""
        conn, self._conn = self._conn, None
        if conn is None:
            return
        if self._fully_read:
            self._pool.release(self._engine.key, conn)
        else:
            conn.close()

    async def _connection(
        self,
    ) -> (
        engine_connection.EngineConnection
        | engine_connection.ConnectionFailure
    ):
        pooled = self._pool.acquire(
            self._engine.key, self._request.kind.repeatable
        )
        if pooled is not None:
            return pooled
        return await self._connect()

    async def _connect(
        self,
    ) -> (
        engine_connection.EngineConnection
        | engine_connection.ConnectionFailure
    ):
        self._pool.opened += 1
        instance = self._engine.instance
        return await engine_connection.connect(
            instance.address,
            instance.port,
            CONNECT_TIMEOUT_S,
            self._pool.receive_buffer,
        )

    def _headers(self, resume_after: int | None) -> dialect.Headers:
        job = self._request.job
        workspace = self._request.workspace
        return self._dialect.write_request(
            self._request.head,
            dialect.SendContext(
                engine_id=self._engine.engine_id,
                time_left=max(0.001, job.deadline - trio.current_time()),
                workspace=workspace.name if workspace else None,
                priority=job.urgency,
                resume_after=resume_after,
            ),
            self._request.kind,
        )

    async def _read_head(
        self, conn: engine_connection.EngineConnection
    ) -> ReceivedHead | SendFailure | None:
        """Return the response head; None if it was for another request."""
        head = await conn.head()
        if isinstance(head, engine_connection.ConnectionFailure):
            return _as_send_failure(head)
        response_head = self._dialect.read_response(head.status, head.headers)
        if head.status != MISDIRECTED:
            self._engine.statements.record_response(
                response_head.leaving,
                response_head.refuses_for,
                trio.current_time(),
            )
        if response_head.load is not None:
            self._engine.record_sample(response_head.load, trio.current_time())
        if response_head.request_id in (None, self._request.head.request_id):
            self.progress = Progress.HEAD
            self._record_rate_limit(head.status, response_head)
            return ReceivedHead(
                head.status,
                response_head,
                head.ends_with_connection,
                self._length(head),
            )
        failure = await conn.skip_response(MAX_RESPONSE_BYTES)
        return None if failure is None else _as_send_failure(failure)

    def _length(self, head: engine_connection.Head) -> int | None:
        if (
            self._request.method == 'HEAD'
            or head.status in engine_connection.STATUSES_WITHOUT_BODY
        ):
            return 0
        return head.length

    def _record_rate_limit(
        self, status: int, response_head: dialect.ResponseHead
    ) -> None:
        if status != MISDIRECTED:
            self._engine.rate_limit.record_response(
                response_head.rate_limit, trio.current_time()
            )


RESET = engine_connection.FailureKind.RESET

_NOT_CONNECTED = (
    engine_connection.FailureKind.REFUSED,
    engine_connection.FailureKind.CONNECT_TIMEOUT,
)

_DISCONNECTED = (
    engine_connection.FailureKind.RESET,
    engine_connection.FailureKind.CLOSED,
)


def _as_send_failure(
    failure: engine_connection.ConnectionFailure,
) -> SendFailure:
    if failure.kind in _NOT_CONNECTED:
        return SendFailure(
            interface.AttemptOutcome.NOT_CONNECTED, False, failure.detail
        )
    detail = f'{failure.kind.value}: {failure.detail}'
    return SendFailure(
        interface.AttemptOutcome.BROKEN,
        failure.may_have_run,
        detail,
        failure.kind in _DISCONNECTED,
    )


def is_stream(kind: routing.RequestKind, received: ReceivedHead) -> bool:
    """Return whether a response is relayed to the caller as it arrives."""
    return kind.streamed and 200 <= received.status < 300
