"""The seam between an entry host and what the hosts share."""

import dataclasses
import math
import typing

from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class Host:
    """One entry host as its peers see it.

    Attributes
    ----------
    host_id : HostId
        Identity of the host.
    incarnation : Incarnation
        Grows with each start; a larger one replaces a smaller one.
    address : str
        IP number.
    caller_port : int
        TCP port for callers.
    peer_port : int
        UDP port for peers.
    failure_domain : FailureDomain
        Where it stands.
    state : HostState
        Its liveness.
    revision : Revision
        Configuration in force on it.
    """

    host_id: ids.HostId
    incarnation: ids.Incarnation
    address: str
    caller_port: int
    peer_port: int
    failure_domain: ids.FailureDomain
    state: states.HostState = states.HostState.LIVE
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True)
class AddressAnswer:
    """Addresses that a caller may use, best first, for ``ttl`` seconds."""

    hosts: tuple[Host, ...]
    ttl: float


@dataclasses.dataclass(frozen=True)
class Claimed:
    """This host alone may run the call of an idempotency key.

    Attributes
    ----------
    token : str
        Identity of the claim.
    valid_until : float
        On trio's clock, in seconds; the call must not be sent later, for
        the claim may have run out while the host was paused.
    """

    token: str
    valid_until: float = math.inf


@dataclasses.dataclass(frozen=True)
class AlreadyDone:
    """The call of this key ran before; this was its answer."""

    status: int
    content_type: str
    body: bytes


ClaimResult = Claimed | AlreadyDone | requests.Refused


class SharedState(typing.Protocol):
    """What one entry host knows of the others, and agrees with them on."""

    def current_catalog(self) -> catalog.Catalog:
        """Return the configuration in force on this host."""

    def configuration_fresh(self) -> bool:
        """Return False when new work must be refused as not run.

        That is so before the first configuration is known, and when neither
        the key-value service nor any peer has been heard for longer than
        the bound in the settings.
        """

    async def wait_change(self, seen: int) -> int:
        """Wait until anything known here changed after count ``seen``.

        Returns
        -------
        int
            Count of changes so far, to pass to the next call; start at 0.
        """

    def note_backend_leaving(self, engine_id: ids.EngineId) -> None:
        """Tell all hosts that a backend server said that it leaves."""

    def workspace_by_key(self, key: str) -> catalog.Workspace | None:
        """Return the workspace that presents ``key``, or None."""

    def current_backends(self) -> tuple[backends.Backend, ...]:
        """Return all known backend servers, leaving ones included."""

    def live_hosts(self) -> tuple[Host, ...]:
        """Return live entry hosts, this one included while it is."""

    def addresses(
        self, failure_domain: ids.FailureDomain | None
    ) -> AddressAnswer:
        """Answer a caller who asks which addresses to use."""

    async def leave(self) -> float:
        """Announce that this host leaves.

        Returns
        -------
        float
            Seconds until the last address answer that names this host has
            run out.
        """

    async def stay(self) -> None:
        """Take back that this host leaves."""

    async def claim(
        self,
        workspace: ids.WorkspaceId,
        service: ids.ServiceName,
        key: ids.IdempotencyKey,
        body_hash: str,
    ) -> ClaimResult:
        """Claim the only run of a call that may not be repeated."""

    async def finish_claim(
        self, claimed: Claimed, status: int, content_type: str, body: bytes
    ) -> None:
        """Keep the answer of a claimed call for its stated life."""

    async def release_claim(self, claimed: Claimed) -> None:
        """Give a claim back: the call certainly did not run."""
