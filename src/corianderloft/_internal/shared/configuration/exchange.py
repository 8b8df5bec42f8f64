"""Taking over what peers know and this host does not."""

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
PAUSE_S = 0.2
LONGEST_PAUSE_S = 5.0

PULLS = registry.counter(
    'configuration_pulls', 'Fetches of newer entries by how they ended.'
)

Changed = collections.abc.Callable[
    [collections.abc.Sequence[mirror.Entry]], None
]
DirectRead = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


class Puller:
    """Fetches newer entries of one mirror from the peers that have them.

    Parameters
    ----------
    kind : FetchKind
        What to ask for.
    copy : Mirror
        The copy to bring forward.
    peers : Transport
        Messages to other hosts.
    changed : callable
        Called with the entries that changed.
    confirm : callable
        Called with the time of the question after an answer.
    read_directly : callable
        Reads from the key-value service when no peer answers.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kind: messages.FetchKind,
        copy: mirror.Mirror,
        peers: transport.Transport,
        changed: Changed,
        confirm: collections.abc.Callable[[float], None],
        read_directly: DirectRead,
        rng: random.Random,
    ) -> None:
        self._kind = kind
        self._copy = copy
        self._peers = peers
        self._changed = changed
        self._confirm = confirm
        self._read_directly = read_directly
        self._rng = rng
        self._sources: dict[messages.Address, ids.Revision] = {}
        self._wanted = ids.Revision(0)
        self._wake = trio.Event()

    def hint(self, source: messages.Address, revision: ids.Revision) -> None:
        """Take note that a peer has ``revision``."""
        if revision <= self._copy.revision:
            return
        self._wanted = max(self._wanted, revision)
        if len(self._sources) < MAX_SOURCES or source in self._sources:
            self._sources[source] = revision
        self._wake.set()

    async def run(self) -> typing.NoReturn:
        """Fetch what is missing until cancelled."""
        pause = PAUSE_S
        while True:
            await self._wake.wait()
            if self._wanted <= self._copy.revision:
                self._sources.clear()
                self._wake = trio.Event()
                pause = PAUSE_S
                continue
            if self._sources:
                await self._pull()
                continue
            await trio.sleep(self._rng.uniform(0, pause))
            pause = min(LONGEST_PAUSE_S, pause * 2)
            if self._wanted > self._copy.revision and not self._sources:
                done = await self._read_directly()
                PULLS.inc({'outcome': 'direct' if done else 'failed'})

    async def _pull(self) -> None:
        source, revision = self._sources.popitem()
        if revision <= self._copy.revision:
            return
        asked_at = trio.current_time()
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
            self._confirm(asked_at)
        if entries:
            self._changed(entries)
