"""What one entry host shares with the others: the parts put together."""

import collections.abc
import dataclasses
import random
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.settings import root
from corianderloft._internal.shared.claims import claims
from corianderloft._internal.shared.configuration import catalogs
from corianderloft._internal.shared.configuration import follow
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared import platform_lists
from corianderloft._internal.utils import tasks


class HostSharedState:
    """Implementation of `interface.SharedState`.

    Parameters
    ----------
    settings : Settings
        Settings of this host.
    kv : KeyValueClient
        The platform's key-value service.
    host : Host
        This host.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        settings: root.Settings,
        kv: kv_interface.KeyValueClient,
        host: interface.Host,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._own = host
        self._rng = rng
        self._configuration = mirror.Mirror(layout.CONFIG_PREFIX)
        self._platform = mirror.Mirror(platform_lists.PLATFORM_PREFIX)
        self._catalogs = catalogs.CatalogView()
        self._backends: dict[str, backends.Backend] = {}
        self._hosts: dict[str, interface.Host] = {}
        self._changes = 0
        self._changed = trio.Event()
        self._followers = (
            follow.ConfigurationFollower(
                kv, self._configuration, self._apply_configuration, rng
            ),
            follow.Follower(kv, self._platform, self._apply_platform, rng),
        )
        self._claims = claims.Claims(
            kv,
            host,
            settings.configuration.claim_life_s,
            self._claim_interval,
            lambda host_id, incarnation: True,
            rng,
        )

    async def run(self) -> None:
        """Keep the shared state until cancelled."""
        async with trio.open_nursery() as nursery:
            for follower in self._followers:
                nursery.start_soon(follower.run)
            nursery.start_soon(self._claims.run)

    def current_catalog(self) -> catalog.Catalog:
        """See `interface.SharedState`."""
        return self._catalogs.current

    def configuration_fresh(self) -> bool:
        """See `interface.SharedState`."""
        return self._configuration.revision > 0

    async def wait_change(self, seen: int) -> int:
        """See `interface.SharedState`."""
        while self._changes <= seen:
            await self._changed.wait()
        return self._changes

    def note_backend_leaving(self, engine_id: ids.EngineId) -> None:
        """See `interface.SharedState`."""
        known = self._backends.get(engine_id)
        if known:
            self._backends[engine_id] = dataclasses.replace(
                known, state=states.BackendState.LEAVING
            )
            self._note_change()

    def workspace_by_key(self, key: str) -> catalog.Workspace | None:
        """See `interface.SharedState`."""
        return self._catalogs.workspace_by_key(key)

    def current_backends(self) -> tuple[backends.Backend, ...]:
        """See `interface.SharedState`."""
        return tuple(self._backends.values())

    def live_hosts(self) -> tuple[interface.Host, ...]:
        """See `interface.SharedState`."""
        others = (
            host
            for host in self._hosts.values()
            if host.state is states.HostState.LIVE
            and host.host_id != self._own.host_id
        )
        own = dataclasses.replace(
            self._own, revision=self._configuration.revision
        )
        live = own.state is states.HostState.LIVE
        return ((own,) if live else ()) + tuple(others)

    def addresses(
        self, failure_domain: ids.FailureDomain | None
    ) -> interface.AddressAnswer:
        """See `interface.SharedState`."""
        hosts = list(self.live_hosts())
        self._rng.shuffle(hosts)
        hosts.sort(key=lambda host: host.failure_domain != failure_domain)
        return interface.AddressAnswer(
            tuple(hosts[: self._settings.peers.answer_size]),
            self._settings.peers.answer_ttl_s,
        )

    async def leave(self) -> float:
        """See `interface.SharedState`."""
        self._own = dataclasses.replace(
            self._own, state=states.HostState.LEAVING
        )
        self._note_change()
        return self._settings.peers.answer_ttl_s

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

    def _claim_interval(self) -> float:
        budget = self._settings.configuration.claim_writes_per_second
        return max(1, len(self.live_hosts())) / budget

    def _apply_configuration(
        self, entries: collections.abc.Sequence[mirror.Entry]
    ) -> None:
        self._catalogs.apply(self._configuration.revision, entries)
        self._note_change()

    def _apply_platform(
        self, entries: collections.abc.Sequence[mirror.Entry]
    ) -> None:
        for entry in entries:
            if entry.key.startswith(platform_lists.HOST_PREFIX):
                self._apply_host(entry)
            elif entry.key.startswith(platform_lists.BACKEND_PREFIX):
                self._apply_backend(entry)
        self._note_change()

    def _apply_host(self, entry: mirror.Entry) -> None:
        host_id = entry.key.removeprefix(platform_lists.HOST_PREFIX)
        if entry.value is None:
            self._hosts.pop(host_id, None)
            return
        host = platform_lists.listed_host(entry)
        if host:
            self._hosts[host_id] = host

    def _apply_backend(self, entry: mirror.Entry) -> None:
        engine_id = entry.key.removeprefix(platform_lists.BACKEND_PREFIX)
        if entry.value is None:
            self._backends.pop(engine_id, None)
            return
        backend = platform_lists.listed_backend(entry)
        if backend:
            self._backends[engine_id] = backend

    def _note_change(self) -> None:
        self._changes += 1
        self._changed.set()
        self._changed = trio.Event()


async def run_shared(
    settings: root.Settings,
    kv: kv_interface.KeyValueClient,
    host: interface.Host,
    *,
    task_status: tasks.TaskStatus[
        interface.SharedState
    ] = trio.TASK_STATUS_IGNORED,
) -> typing.NoReturn:
    """Run the shared state of one host until cancelled.

    Parameters
    ----------
    settings : Settings
        Settings of the host.
    kv : KeyValueClient
        The platform's key-value service.
    host : Host
        This host, with the port that callers use.
    task_status : TaskStatus
        Receives the `interface.SharedState`.
    """
    state = HostSharedState(settings, kv, host, random.Random())  # noqa: S311
    task_status.started(state)
    await state.run()
    raise RuntimeError('the shared state of the host ended')
