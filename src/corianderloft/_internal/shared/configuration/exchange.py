"""Fetches newer entries from peers."""

import collections.abc
import random
import typing

import trio

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared.peers import messages
from corianderloft._internal.shared.peers import transport

MAX_SOURCES = 3
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

PULLS = registry.counter(
    'configuration_pulls', 'Fetches of newer entries by how they ended.'
)

ChangeCallback = collections.abc.Callable[
    [collections.abc.Sequence[mirror.Entry]], None
]
DirectRead = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


class Puller:
    """Fetches newer entries of one mirror from peers that have them.

    Parameters
    ----------
    kind : FetchKind
        Kind of entries to fetch.
    copy : Mirror
        The local copy to update.
    peers : Transport
        Transport for messages to other hosts.
    on_change : callable
        Called with the entries that changed.
    on_confirmed : callable
        Called with the time of the request once the copy has the revision of
        the response.
    read_directly : callable
        Reads from the key-value service when no peer responds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kind: messages.FetchKind,
        copy: mirror.Mirror,
        peers: transport.Transport,
        on_change: ChangeCallback,
        on_confirmed: collections.abc.Callable[[float], None],
        read_directly: DirectRead,
        rng: random.Random,
    ) -> None:
        self._kind = kind
        self._copy = copy
        self._peers = peers
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._read_directly = read_directly
        self._rng = rng
        self._sources: dict[messages.Address, ids.Revision] = {}
        self._target_revision = ids.Revision(0)
        self._wake = trio.Event()

    def hint(self, source: messages.Address, revision: ids.Revision) -> None:
        """Record that a peer has ``revision``; fetch it if it is newer."""
        if revision <= self._copy.revision:
            return
        self._target_revision = max(self._target_revision, revision)
        if len(self._sources) < MAX_SOURCES or source in self._sources:
            self._sources[source] = revision
        self._wake.set()

    async def run(self) -> typing.NoReturn:
        """Fetch newer entries until cancelled."""
        backoff = INITIAL_BACKOFF_S
        while True:
            await self._wake.wait()
            if self._target_revision <= self._copy.revision:
                self._sources.clear()
                self._wake = trio.Event()
                backoff = INITIAL_BACKOFF_S
                continue
            if self._sources:
                await self._pull()
                continue
            await trio.sleep(self._rng.uniform(0, backoff))
            backoff = min(MAX_BACKOFF_S, backoff * 2)
            if (
                self._target_revision > self._copy.revision
                and not self._sources
            ):
                done = await self._read_directly()
                PULLS.inc({'outcome': 'direct' if done else 'failed'})

    async def _pull(self) -> None:
        source, revision = self._sources.popitem()
        if revision <= self._copy.revision:
            return
        requested_at = trio.current_time()
        fetched = await self._peers.fetch(
            source,
            messages.Fetch(
                self._kind,
                transport.new_nonce(self._rng),
                self._copy.revision,
            ),
        )
        if isinstance(fetched, messages.FetchFailed):
            PULLS.inc({'outcome': 'peer_failed'})
            return
        PULLS.inc({'outcome': 'peer'})
        entries = self._copy.apply(fetched.delta)
        if fetched.delta.revision == self._copy.revision:
            self._on_confirmed(requested_at)
        if entries:
            self._on_change(entries)
