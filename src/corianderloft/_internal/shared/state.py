"""Implementation of the state that one entry host shares with others."""

import collections.abc
import dataclasses
import random
import typing

import trio

from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.settings import root
from corianderloft._internal.shared import backend_list
from corianderloft._internal.shared.claims import claims
from corianderloft._internal.shared.configuration import catalogs
from corianderloft._internal.shared.configuration import exchange
from corianderloft._internal.shared.configuration import follow
from corianderloft._internal.shared.configuration import freshness
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared.configuration import watching
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.membership import addresses
from corianderloft._internal.shared.membership import detector
from corianderloft._internal.shared.membership import incarnations
from corianderloft._internal.shared.membership import view
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared.orders import engine_http
from corianderloft._internal.shared.orders import services
from corianderloft._internal.shared.peers import messages
from corianderloft._internal.shared.peers import transport
from corianderloft._internal.shared import platform_lists

LEAVE_PROPAGATION_S = 2.0
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0


class HostSharedState:
    """Implementation of `interface.SharedState`.

    Parameters
    ----------
    settings : Settings
        Settings of this host.
    kv : KeyValueClient
        Client of the platform's key-value service.
    host : Host
        This host, with its peer port.
    peers : Transport
        Transport for messages to other hosts.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        settings: root.Settings,
        kv: kv_interface.KeyValueClient,
        host: interface.Host,
        peers: transport.Transport,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._kv = kv
        self._peers = peers
        self._rng = rng
        self._change_count = 0
        self._changed = trio.Event()
        self._configuration = mirror.Mirror(layout.CONFIG_PREFIX)
        self._platform = mirror.Mirror(platform_lists.PLATFORM_PREFIX)
        self._catalogs = catalogs.CatalogView()
        self._backends = backend_list.BackendList()
        self._freshness = freshness.FreshnessTracker()
        self._view = view.View(host)
        seeds = tuple(_parse_address(s) for s in settings.peers.seeds)
        self._detector = detector.Detector(self._view, peers, self, seeds, rng)
        self._no_known_peers = not seeds
        self._newer_era_told = trio.Event()
        self._create_followers(kv)
        self._claims = claims.Claims(
            kv,
            host,
            settings.configuration.claim_life_s,
            self._claim_interval,
            self._may_still_run,
            rng,
        )
        self._orders = services.ServiceOrders(
            kv,
            host.host_id,
            engine_http.HttpEngineOrders(),
            self._fresh_catalog,
            self.current_backends,
            lambda: watching.rank(self._view) == 0,
            rng,
        )

    def _create_followers(self, kv: kv_interface.KeyValueClient) -> None:
        rng = self._rng
        self._follower = configuration = follow.ConfigurationFollower(
            kv,
            self._configuration,
            self._apply_configuration,
            rng,
            self._freshness,
        )
        platform = follow.Follower(
            kv, self._platform, self._apply_platform, rng
        )
        self._watch_manager = watching.WatchManager(
            self._view,
            configuration,
            platform,
            self._freshness,
            lambda: self._configuration.revision > 0,
            rng,
        )
        self._configuration_puller = exchange.Puller(
            messages.FetchKind.CONFIGURATION,
            self._configuration,
            self._peers,
            self._apply_configuration,
            self._freshness.confirm,
            configuration.verify,
            rng,
        )
        self._platform_puller = exchange.Puller(
            messages.FetchKind.PLATFORM,
            self._platform,
            self._peers,
            self._apply_platform,
            lambda requested_at: None,
            platform.read,
            rng,
        )

    async def run(self) -> None:
        """Maintain the shared state until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._peers.serve, self._handle_fetch)
            nursery.start_soon(self._load_seeds)
            nursery.start_soon(self._detector.run)
            nursery.start_soon(self._watch_manager.run)
            nursery.start_soon(self._configuration_puller.run)
            nursery.start_soon(self._platform_puller.run)
            nursery.start_soon(self._claims.run)
            nursery.start_soon(self._meet_new_eras)
            if self._settings.configuration.send_orders:
                nursery.start_soon(self._orders.run)

    def current_catalog(self) -> catalog.Catalog:
        """See `interface.SharedState`."""
        return self._catalogs.current

    def configuration_fresh(self) -> bool:
        """See `interface.SharedState`."""
        if self._view.replaced or not self._configuration.revision:
            return False
        bound = self._settings.configuration.stale_after_s
        return self._no_known_peers or self._freshness.confirmed_within(bound)

    async def wait_change(self, seen: int) -> int:
        """See `interface.SharedState`."""
        while self._change_count <= seen:
            await self._changed.wait()
        return self._change_count

    def note_backend_leaving(self, engine_id: ids.EngineId) -> None:
        """See `interface.SharedState`."""
        self._detector.note_backend_leaving(engine_id)

    def workspace_by_key(self, key: str) -> catalog.Workspace | None:
        """See `interface.SharedState`."""
        return self._catalogs.workspace_by_key(key)

    def current_backends(self) -> tuple[backends.Backend, ...]:
        """See `interface.SharedState`."""
        return self._backends.current()

    def live_hosts(self) -> tuple[interface.Host, ...]:
        """See `interface.SharedState`."""
        own = dataclasses.replace(
            self._view.own, revision=self._configuration.revision
        )
        live = own.state is states.HostState.LIVE and not self._view.replaced
        others = self._view.others(states.HostState.LIVE)
        return ((own,) if live else ()) + tuple(others)

    def addresses(
        self, failure_domain: ids.FailureDomain | None
    ) -> interface.AddressAnswer:
        """See `interface.SharedState`."""
        return addresses.choose(
            self.live_hosts(),
            failure_domain,
            self._settings.peers.answer_size,
            self._settings.peers.answer_ttl_s,
            self._rng,
        )

    async def leave(self) -> float:
        """See `interface.SharedState`."""
        self._detector.leave()
        return self._settings.peers.answer_ttl_s + LEAVE_PROPAGATION_S

    async def cancel_leave(self) -> None:
        """See `interface.SharedState`."""
        self._detector.cancel_leave()

    async def claim(
        self,
        workspace: ids.WorkspaceId,
        service: ids.ServiceName,
        key: ids.IdempotencyKey,
        body_hash: str,
    ) -> interface.ClaimResult:
        """See `interface.SharedState`."""
        return await self._claims.claim(workspace, service, key, body_hash)

    async def finish_claim(
        self,
        claimed: interface.Claimed,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        """See `interface.SharedState`."""
        await self._claims.finish(claimed, status, content_type, body)

    async def release_claim(self, claimed: interface.Claimed) -> None:
        """See `interface.SharedState`."""
        await self._claims.release(claimed)

    def configuration_revision(self) -> ids.Revision:
        """See `delegate.Delegate`."""
        return self._configuration.revision

    def platform_revision(self) -> ids.Revision:
        """See `delegate.Delegate`."""
        return self._platform.revision

    def verified_age(self) -> float:
        """See `delegate.Delegate`."""
        return self._freshness.verified_age()

    def on_message(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        """See `delegate.Delegate`."""
        if eras.era_of(message.configuration) > self._kv.era:
            self._newer_era_told.set()
        self._configuration_puller.hint(source, message.configuration)
        self._platform_puller.hint(source, message.platform)

    def on_ack(self, requested_at: float, message: messages.Datagram) -> None:
        """See `delegate.Delegate`."""
        if message.configuration > self._configuration.revision:
            return
        self._freshness.confirm(requested_at)
        if message.configuration == self._configuration.revision:
            self._freshness.verify_through_peer(
                requested_at, message.verified_age
            )

    def on_members_changed(self) -> None:
        """See `delegate.Delegate`."""
        self._no_known_peers = False
        self._signal_change()

    def on_backend_leaving(self, engine_id: ids.EngineId, age: float) -> bool:
        """See `delegate.Delegate`."""
        is_new = self._backends.note_leaving(engine_id, age)
        if is_new:
            self._signal_change()
        return is_new

    async def _load_seeds(self) -> None:
        """Read the platform's list of hosts once, to find peers to join."""
        backoff = INITIAL_BACKOFF_S
        while True:
            found = await self._kv.get_prefix(platform_lists.HOST_PREFIX)
            if isinstance(found, kv_interface.Found):
                break
            await trio.sleep(self._rng.uniform(0.5, 1.0) * backoff)
            backoff = min(MAX_BACKOFF_S, backoff * 2)
        for item in found.items:
            self._add_listed_host(
                mirror.Entry(item.key, item.value, item.mod_revision)
            )

    async def _meet_new_eras(self) -> typing.NoReturn:
        """Call the key-value service when a peer knows of a restore.

        The reply states the new era, in which claims are written again.
        """
        while True:
            await self._newer_era_told.wait()
            self._newer_era_told = trio.Event()
            await self._follower.verify()
            await trio.sleep(self._rng.uniform(0.5, 1.0) * INITIAL_BACKOFF_S)

    def _handle_fetch(self, fetch: messages.Fetch) -> messages.Fetched:
        match fetch.kind:
            case messages.FetchKind.VIEW:
                return messages.Fetched(members=self._view.all_members())
            case messages.FetchKind.CONFIGURATION:
                return messages.Fetched(
                    self._configuration.since(fetch.revision)
                )
            case messages.FetchKind.PLATFORM:
                return messages.Fetched(self._platform.since(fetch.revision))
        typing.assert_never(fetch.kind)

    def _fresh_catalog(self) -> catalog.Catalog | None:
        return self.current_catalog() if self.configuration_fresh() else None

    def _may_still_run(
        self, host_id: ids.HostId, incarnation: ids.Incarnation
    ) -> bool:
        """Return whether a host may still be running a call it claimed."""
        own = self._view.own
        host = own if host_id == own.host_id else self._view.get(host_id)
        return (
            host is not None
            and host.state is not states.HostState.DEAD
            and incarnations.same_start(host.incarnation, incarnation)
        )

    def _claim_interval(self) -> float:
        budget = self._settings.configuration.claim_writes_per_second
        return max(1, len(self.live_hosts())) / budget

    def _apply_configuration(
        self, entries: collections.abc.Sequence[mirror.Entry]
    ) -> None:
        self._catalogs.apply(self._configuration.revision, entries)
        self._detector.push_soon()
        self._signal_change()

    def _apply_platform(
        self, entries: collections.abc.Sequence[mirror.Entry]
    ) -> None:
        for entry in entries:
            if entry.key.startswith(platform_lists.HOST_PREFIX):
                self._add_listed_host(entry)
            elif entry.key.startswith(platform_lists.BACKEND_PREFIX):
                self._backends.apply(entry)
        self._detector.push_soon()
        self._signal_change()

    def _add_listed_host(self, entry: mirror.Entry) -> None:
        host = platform_lists.decode_host(entry) if entry.value else None
        if host is None or not host.peer_port:
            return
        if host.host_id != self._view.own.host_id:
            self._no_known_peers = False
            self._detector.add_seeds(
                messages.Address(host.address, host.peer_port)
            )

    def _signal_change(self) -> None:
        self._change_count += 1
        self._changed.set()
        self._changed = trio.Event()


def _parse_address(text: str) -> messages.Address:
    ip, _, port = text.rpartition(':')
    return messages.Address(ip, int(port))
