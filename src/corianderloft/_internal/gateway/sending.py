"""One send of a request to one backend server, up to the answer's head."""

import dataclasses

import trio

from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway import routed_request
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import engine_pool
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

CONNECT_TIME = 0.5
"""Time for a connection to a backend server, in seconds: zones are
milliseconds apart, so one that takes longer goes nowhere."""

MAX_ANSWER_BYTES = 16 * 2**20
"""Longest answer that is not a stream."""

MOST_LATE_ANSWERS = 3
"""Answers to earlier requests that are dropped before one is read."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The send brought no answer.

    Attributes
    ----------
    end : End
        How it ended.
    may_have_run : bool
        Whether the backend server may have run the request.
    detail : str
        Cause, for the log.
    """

    end: interface.End
    may_have_run: bool
    detail: str


@dataclasses.dataclass(frozen=True)
class Opened:
    """The head of an answer to this very request.

    Attributes
    ----------
    status : int
        HTTP status.
    head : ResponseHead
        What it says.
    """

    status: int
    head: dialect.ResponseHead


class Send:
    """A request on one connection to one backend server.

    Parameters
    ----------
    pool : EnginePool
        Connections kept.
    words : Dialect
        Writes and reads heads.
    engine : Engine
        Where it goes.
    call : Call
        The request.
    """

    def __init__(
        self,
        pool: engine_pool.EnginePool,
        words: dialect.Dialect,
        engine: engines.Engine,
        call: routed_request.Call,
    ) -> None:
        self._pool = pool
        self._words = words
        self._engine = engine
        self._call = call
        self._conn: engine_connection.EngineConnection | None = None
        self._whole = False

    async def open(self, resume_after: int | None) -> Opened | Failed:
        """Send the request and wait for the head of its answer."""
        conn = await self._connection()
        if isinstance(conn, engine_connection.Broken):
            return _failed(conn)
        self._conn = conn
        broken = await conn.send(
            self._call.method,
            self._call.target,
            self._headers(resume_after),
            self._call.body,
        )
        if broken is not None and broken.kind is not RESET:
            return _failed(broken)
        for _ in range(MOST_LATE_ANSWERS):
            opened = await self._head(conn)
            if opened is not None:
                return opened
        return Failed(interface.End.BROKEN, True, 'only late answers came')

    async def read(self) -> bytes | Failed | None:
        """Return the next piece of the body; None at its end."""
        assert self._conn is not None
        part = await self._conn.read()
        if isinstance(part, engine_connection.Broken):
            return _failed(part)
        self._whole = part is None
        return part

    async def read_all(self) -> bytes | Failed:
        """Return the whole body."""
        assert self._conn is not None
        body = await self._conn.read_all(MAX_ANSWER_BYTES)
        if isinstance(body, engine_connection.Broken):
            return _failed(body)
        self._whole = True
        return body

    def close(self) -> None:
        """Keep the connection if the answer was read whole, or close it."""
        conn, self._conn = self._conn, None
        if conn is None:
            return
        if self._whole:
            self._pool.give_back(self._engine.key, conn)
        else:
            conn.close()

    async def _connection(
        self,
    ) -> engine_connection.EngineConnection | engine_connection.Broken:
        kept = self._pool.take(self._engine.key, self._call.kind.repeatable)
        if kept is not None:
            return kept
        self._pool.opened += 1
        instance = self._engine.instance
        return await engine_connection.connect(
            instance.address, instance.port, CONNECT_TIME
        )

    def _headers(self, resume_after: int | None) -> dialect.Headers:
        job = self._call.job
        workspace = self._call.workspace
        return self._words.write_request(
            self._call.head,
            dialect.SendContext(
                engine_id=self._engine.engine_id,
                time_left=max(0.001, job.until - trio.current_time()),
                workspace=workspace.name if workspace else None,
                priority=job.urgency,
                resume_after=resume_after,
            ),
            self._call.kind,
        )

    async def _head(
        self, conn: engine_connection.EngineConnection
    ) -> Opened | Failed | None:
        """Return the head of the answer; None after one to another request."""
        head = await conn.head()
        if isinstance(head, engine_connection.Broken):
            return _failed(head)
        read = self._words.read_response(head.status, head.headers)
        if read.load is not None:
            self._engine.note_sample(read.load, trio.current_time())
        if read.request_id in (None, self._call.head.request_id):
            return Opened(head.status, read)
        broken = await conn.skip_answer(MAX_ANSWER_BYTES)
        return None if broken is None else _failed(broken)


RESET = engine_connection.BreakKind.RESET

_NOT_CONNECTED = (
    engine_connection.BreakKind.REFUSED,
    engine_connection.BreakKind.CONNECT_TIMEOUT,
)


def _failed(broken: engine_connection.Broken) -> Failed:
    if broken.kind in _NOT_CONNECTED:
        return Failed(interface.End.NOT_CONNECTED, False, broken.detail)
    detail = f'{broken.kind.value}: {broken.detail}'
    return Failed(interface.End.BROKEN, broken.may_have_run, detail)


def is_stream(kind: routing.RequestKind, opened: Opened) -> bool:
    """Return whether an answer is passed on as it arrives."""
    return kind.streamed and 200 <= opened.status < 300
