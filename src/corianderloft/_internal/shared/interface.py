"""Interface between an entry host and the state shared by all hosts."""

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
    """One entry host as seen by its peers.

    Attributes
    ----------
    host_id : HostId
        Id of the host.
    incarnation : Incarnation
        Increases with each start; a larger one supersedes a smaller one.
    address : str
        IP address.
    caller_port : int
        TCP port for callers.
    peer_port : int
        UDP port for peers.
    failure_domain : FailureDomain
        Failure domain of the host.
    state : HostState
        Liveness of the host.
    revision : Revision
        Revision of the configuration that the host has applied.
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
    """Addresses for a caller, best first, valid for ``ttl`` seconds."""

    hosts: tuple[Host, ...]
    ttl: float


@dataclasses.dataclass(frozen=True)
class Claimed:
    """Only this host may run the call with the idempotency key.

    Attributes
    ----------
    token : str
        Id of the claim.
    valid_until : float
        On trio's clock, in seconds. The call must not be sent later,
        because the claim may have expired while the host was paused.
    """

    token: str
    valid_until: float = math.inf


@dataclasses.dataclass(frozen=True)
class AlreadyDone:
    """The call with this key already ran; its stored response."""

    status: int
    content_type: str
    body: bytes


ClaimResult = Claimed | AlreadyDone | requests.Refused


class SharedState(typing.Protocol):
    """State that one entry host shares with the other hosts."""

    def current_catalog(self) -> catalog.Catalog:
        """Return the configuration that this host has applied."""

    def configuration_fresh(self) -> bool:
        """Return False if new work must be refused as not run.

        This is the case before the first configuration is known, and when
        neither the key-value service nor any peer has answered for longer
        than the limit in the settings.
        """

    async def wait_change(self, seen: int) -> int:
        """Wait until more than ``seen`` changes of the state have occurred.

        Returns
        -------
        int
            Number of changes so far, to pass to the next call; start at 0.
        """

    def note_backend_leaving(self, engine_id: ids.EngineId) -> None:
        """Notify all hosts that a backend server announced it is leaving."""

    def workspace_by_key(self, key: str) -> catalog.Workspace | None:
        """Return the workspace that ``key`` belongs to, or None."""

    def current_backends(self) -> tuple[backends.Backend, ...]:
        """Return all known backend servers, including leaving ones."""

    def live_hosts(self) -> tuple[Host, ...]:
        """Return the live entry hosts, including this one while it is live."""

    def addresses(
        self, failure_domain: ids.FailureDomain | None
    ) -> AddressAnswer:
        """Return the addresses that a caller should use."""

    async def leave(self) -> float:
        """Announce that this host is leaving.

        Returns
        -------
        float
            Seconds until the last address list that contains this host has
            expired.
        """

    async def cancel_leave(self) -> None:
        """Withdraw the announcement that this host is leaving."""

    async def claim(
        self,
        workspace: ids.WorkspaceId,
        service: ids.ServiceName,
        key: ids.IdempotencyKey,
        body_hash: str,
    ) -> ClaimResult:
        """Claim the right to run a non-idempotent call."""

    async def finish_claim(
        self, claimed: Claimed, status: int, content_type: str, body: bytes
    ) -> None:
        """Store the response of a claimed call for the configured time."""

    async def release_claim(self, claimed: Claimed) -> None:
        """Remove a claim whose call certainly did not run."""
