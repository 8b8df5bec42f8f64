"""An entry host with fake shared state and a fake dispatcher."""

import contextlib
import dataclasses
import hashlib
import itertools
import math
import typing

import httpcore
import orjson
import trio

from corianderloft._internal.decisions import interface as decisions
from corianderloft._internal.entry import calls
from corianderloft._internal.entry import host
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface as shared_state

KEYS = {'stables': 'key-stables', 'cobblers': 'key-cobblers'}
OPERATOR_TOKEN = 'operator-token'
VIEWER_TOKEN = 'viewer-token'
BODY: dict[str, typing.Any] = {
    'model': 'any',
    'messages': [{'role': 'user', 'content': 'when is rug 7 ready?'}],
    'stream': True,
    'max_tokens': 64,
}


def catalog_of(**changes: typing.Any) -> catalog.Catalog:
    """Return a catalog with one model service and one plain service."""
    quick_class = catalog.RequestClass(
        ids.ClassName('quick'), ids.Tier(0), token_gap_target=0.004
    )
    quick_class = dataclasses.replace(quick_class, **changes)
    booking_class = catalog.RequestClass(
        ids.ClassName('booking'),
        ids.Tier(0),
        first_token_target=0.1,
        idempotent=False,
        deadline=1.0,
    )
    route = catalog.SupplierRoute(ids.SupplierName('s'), ids.ModelVersion('m'))
    return catalog.Catalog(
        ids.Revision(1),
        (
            catalog.ServiceTemplate(
                ids.ServiceName('desk'),
                states.ServiceKind.MODEL,
                (quick_class,),
                (route,),
            ),
            catalog.ServiceTemplate(
                ids.ServiceName('till'),
                states.ServiceKind.PLAIN,
                (booking_class, quick_class),
                (route,),
            ),
        ),
        tuple(
            catalog.Workspace(
                ids.WorkspaceId(name),
                (key,),
                (ids.ServiceName('desk'), ids.ServiceName('till')),
            )
            for name, key in KEYS.items()
        ),
    )


def origin(caller_id: str = 'r1') -> calls.Origin:
    """Return the origin of a request of ``stables`` to ``desk``."""
    current = catalog_of()
    service = current.services[0]
    return calls.Origin(
        current.workspaces[0], service, service.classes[0], caller_id
    )


class FakeShared:
    """In-memory shared state of a single host."""

    def __init__(self, *listed: backends.Backend) -> None:
        self.catalog = catalog_of()
        self.backends = listed
        self.fresh = True
        self.address_queries = 0
        self.claim_valid_until = math.inf
        self.leaving: list[ids.EngineId] = []
        self.left = False
        self.answer_ttl = 0.0
        self.own: shared_state.Host | None = None
        self.claims: dict[str, shared_state.AlreadyDone | None] = {}
        self.released: list[str] = []

    def current_catalog(self) -> catalog.Catalog:
        return self.catalog

    def configuration_fresh(self) -> bool:
        return self.fresh

    async def wait_change(self, seen: int) -> int:
        await trio.sleep(0.05)
        return seen + 1

    def note_backend_leaving(self, engine_id: ids.EngineId) -> None:
        self.leaving.append(engine_id)

    def workspace_by_key(self, key: str) -> catalog.Workspace | None:
        return next(
            (w for w in self.catalog.workspaces if key in w.key_hashes), None
        )

    def current_backends(self) -> tuple[backends.Backend, ...]:
        return self.backends

    def live_hosts(self) -> tuple[shared_state.Host, ...]:
        return (self.own,) if self.own and not self.left else ()

    def addresses(
        self, failure_domain: ids.FailureDomain | None
    ) -> shared_state.AddressAnswer:
        self.address_queries += 1
        return shared_state.AddressAnswer(self.live_hosts(), 5.0)

    async def leave(self) -> float:
        self.left = True
        return self.answer_ttl

    async def cancel_leave(self) -> None:
        self.left = False

    async def claim(
        self, workspace: str, service: str, key: str, body_hash: str
    ) -> shared_state.ClaimResult:
        token = f'{workspace}/{service}/{key}'
        if token not in self.claims:
            self.claims[token] = None
            return shared_state.Claimed(token, self.claim_valid_until)
        done = self.claims[token]
        return done or requests.Refused(
            reasons.RefusalReason.CLAIM_IN_PROGRESS,
            states.RunState.UNKNOWN,
            'claimed',
        )

    async def finish_claim(
        self,
        claimed: shared_state.Claimed,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        self.claims[claimed.token] = shared_state.AlreadyDone(
            status, content_type, body
        )

    async def release_claim(self, claimed: shared_state.Claimed) -> None:
        del self.claims[claimed.token]
        self.released.append(claimed.token)


@dataclasses.dataclass
class FakeGrant:
    """A grant that records how it is used.

    Attributes
    ----------
    lower_after : tuple of int
        Token counts above which the priority is lowered by one step each.
    tokens : int
        Tokens reported with `progress`.
    ends : list of AttemptEnd
        Arguments of `close`, which must be called once.
    """

    backend: backends.Backend
    priority: int = 0
    lower_after: tuple[int, ...] = ()
    tokens: int = 0
    ends: list[decisions.AttemptEnd] = dataclasses.field(default_factory=list)

    def may_send(self) -> bool:
        """Return that the server accepts new work."""
        return True

    def first_token(self) -> None:
        pass

    def progress(self, tokens: int) -> None:
        self.tokens += tokens
        self.priority = sum(self.tokens > n for n in self.lower_after)

    def close(self, end: decisions.AttemptEnd) -> None:
        assert not self.ends
        self.ends.append(end)


class FakeDispatcher:
    """Grants requests at once, round robin, and allows safe retries.

    Attributes
    ----------
    grants : list of FakeGrant
        All grants.
    hedge : float, optional
        Result of `hedge_after` in seconds.
    lower_after : tuple of int
        Passed to each grant.
    allow_all_retries : bool
        Allow every retry, also unsafe ones.
    acquire_called : Event
        Set on the first call of `acquire`.
    gate : Event
        `acquire` waits for it.
    reports, cached : list
        Load reports and prefix cache events received.
    """

    def __init__(self, shared: FakeShared) -> None:
        self._shared = shared
        self._turn = itertools.count()
        self.grants: list[FakeGrant] = []
        self.hedge: float | None = None
        self.lower_after: tuple[int, ...] = ()
        self.allow_all_retries = False
        self.acquire_called = trio.Event()
        self.gate = trio.Event()
        self.gate.set()
        self.reports: list[backends.LoadReport] = []
        self.cached: list[tuple[typing.Any, ...]] = []

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: typing.AbstractSet[ids.EngineId] = frozenset(),
    ) -> FakeGrant | requests.Refused:
        self.acquire_called.set()
        await self.gate.wait()
        usable = [
            backend
            for backend in self._shared.backends
            if backend.service == ticket.service
            and backend.engine_id not in exclude
        ]
        if not usable:
            return requests.Refused(
                reasons.RefusalReason.NO_BACKEND,
                states.RunState.NOT_RUN,
                'no backend server',
                1.5,
            )
        backend = usable[next(self._turn) % len(usable)]
        grant = FakeGrant(backend, lower_after=self.lower_after)
        self.grants.append(grant)
        return grant

    def retry(
        self,
        ticket: requests.Ticket,
        end: decisions.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
    ) -> decisions.RetryNow | decisions.GiveUp:
        if self.allow_all_retries:
            return decisions.RetryNow(reasons.RetryReason.RESUME, 0.0)
        if may_have_run and not ticket.idempotent:
            return decisions.GiveUp(reasons.RetryRefusalReason.NOT_IDEMPOTENT)
        if attempts >= 4:
            return decisions.GiveUp(reasons.RetryRefusalReason.ATTEMPTS)
        return decisions.RetryNow(reasons.RetryReason(end.value), 0.0)

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        return self.hedge

    def queue_states(self) -> tuple[()]:
        return ()

    def use_catalog(self, current: object) -> None:
        pass

    def use_backends(self, current: object) -> None:
        pass

    def use_hosts(self, own: object, live: object) -> None:
        pass

    def report_load(self, report: backends.LoadReport) -> None:
        self.reports.append(report)

    def update_cached_prefixes(self, *event: typing.Any) -> None:
        self.cached.append(event)


@dataclasses.dataclass
class Fixture:
    """A running host, its fakes and its sockets."""

    shared: FakeShared
    dispatcher: FakeDispatcher
    sockets: host.Sockets
    stop: trio.Event
    ended: trio.Event

    @property
    def url(self) -> str:
        return f'http://127.0.0.1:{self.sockets.caller_port}'

    @property
    def operators_url(self) -> str:
        return f'http://127.0.0.1:{self.sockets.operator_port}'


def settings(**sections: typing.Any) -> root.Settings:
    """Return settings with a short silence timeout."""
    hashed = [
        {
            'name': token,
            'role': role,
            'token_sha256': hashlib.sha256(token.encode()).hexdigest(),
        }
        for token, role in (
            (OPERATOR_TOKEN, 'operator'),
            (VIEWER_TOKEN, 'viewer'),
        )
    ]
    base: dict[str, typing.Any] = {
        'host': {'host_id': 'h1'},
        'operators': {'credentials': hashed},
        'backends': {'silent_floor': 0.3, 'polls_per_second': 0},
    }
    for name, values in sections.items():
        base[name] = {**base.get(name, {}), **values}
    return root.Settings.model_validate(base)


@contextlib.asynccontextmanager
async def running_host(
    *listed: backends.Backend, **sections: typing.Any
) -> typing.AsyncIterator[Fixture]:
    """Run a host with the given backend servers."""
    cfg = settings(**sections)
    shared = FakeShared(*listed)
    dispatcher = FakeDispatcher(shared)
    stop = trio.Event()
    ended = trio.Event()
    sockets = host.bind(cfg)
    shared.own = shared_state.Host(
        ids.HostId('h1'),
        ids.Incarnation(1),
        '127.0.0.1',
        sockets.caller_port,
        1,
        ids.FailureDomain('fd-1'),
    )

    async def serve(
        task_status: typing.Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await host.serve_host(
            cfg,
            shared,
            dispatcher,
            sockets,
            stop=stop,
            handle_signals=False,
            task_status=task_status,
        )
        ended.set()

    async with trio.open_nursery() as nursery:
        await nursery.start(serve)
        yield Fixture(shared, dispatcher, sockets, stop, ended)
        nursery.cancel_scope.cancel()


@dataclasses.dataclass
class Answer:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        return orjson.loads(self.body)

    def refusal(self) -> tuple[str, str]:
        error = self.json()['error']
        return error['reason'], error['run']

    def tokens(self) -> list[int]:
        return token_ids(self.body)


def headers_of(workspace: str, **extra: str) -> dict[str, str]:
    """Return headers of a request of a workspace to ``desk``."""
    return {
        'Authorization': f'Bearer {KEYS[workspace]}',
        'X-Service': 'desk',
        'X-Class': 'quick',
        **{name.replace('_', '-'): value for name, value in extra.items()},
    }


async def call(
    url: str,
    method: str = 'POST',
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a new connection and return the response."""
    content = body if isinstance(body, bytes) else orjson.dumps(body)
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            url,
            headers=headers or {},
            content=b'' if body is None else content,
        )
    headers_by_name = {
        k.decode().lower(): v.decode() for k, v in response.headers
    }
    return Answer(response.status, headers_by_name, response.content)


async def chat(
    fixture: Fixture, workspace: str = 'stables', **extra: str
) -> Answer:
    """Request a streamed completion and return the whole response."""
    return await call(
        fixture.url + '/v1/chat/completions',
        body=BODY,
        headers=headers_of(workspace, **extra),
    )


class Reader:
    """A caller's connection that reads a stream step by step."""

    def __init__(self, connection: httpcore.AsyncHTTPConnection) -> None:
        self._connection = connection
        self._response: httpcore.Response | None = None
        self.body = b''

    async def open(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> int:
        self._response = await self._connection.handle_async_request(
            httpcore.Request(
                method,
                url,
                headers={
                    'Host': 'h',
                    'Content-Length': str(len(body)),
                    **headers,
                },
                content=body,
            )
        )
        self._chunks = self._response.aiter_stream().__aiter__()
        return self._response.status

    async def until(self, count: int) -> None:
        """Read until token ``count`` has arrived."""
        while not self.body or max(token_ids(self.body), default=0) < count:
            self.body += await anext(self._chunks)

    async def rest(self) -> bytes:
        """Read to the end and return the whole body."""
        async for chunk in self._chunks:
            self.body += chunk
        return self.body

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.aclose()


@contextlib.asynccontextmanager
async def reading(
    fixture: Fixture, workspace: str = 'stables', **extra: str
) -> typing.AsyncIterator[Reader]:
    """Start a streamed completion on a new connection."""
    async with open_reader(fixture) as reader:
        status = await reader.open(
            'POST',
            fixture.url + '/v1/chat/completions',
            headers_of(workspace, **extra),
            orjson.dumps(BODY),
        )
        assert status == 200
        yield reader


@contextlib.asynccontextmanager
async def open_reader(fixture: Fixture) -> typing.AsyncIterator[Reader]:
    """Return a reader for a new connection to the callers' port."""
    origin = httpcore.URL(fixture.url).origin
    async with httpcore.AsyncHTTPConnection(origin) as connection:
        yield Reader(connection)


def token_ids(body: bytes) -> list[int]:
    """Return the ids of all events in order."""
    return [
        int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')
    ]


async def send_raw(fixture: Fixture, sent: bytes) -> bytes:
    """Send bytes and return all bytes received until the end."""
    port = fixture.sockets.caller_port
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    received = b''
    with trio.fail_after(10):
        try:
            await stream.send_all(sent)
        except trio.BrokenResourceError:
            pass
        try:
            while part := await stream.receive_some(4096):
                received += part
        except trio.BrokenResourceError:
            pass
    return received
