"""What a process of the gateway is told when it starts."""

import dataclasses

from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Promises of the deployment that the gateway keeps.

    Attributes
    ----------
    revocation_time : float or None
        Longest time that a removed key may still be honoured by a host that
        cannot reach the store, in seconds; None when keys may outlive it.
    termination_grace : float
        Time between the signal to stop and the kill, in seconds.
    retry_ratio : float
        Repeated sends a service may get for each request to it.
    retry_slack : float
        Repeated sends it may get beyond those in one window.
    retry_window : float
        Length of that window in seconds.
    max_address_ttl : float
        Longest time that callers keep an address answer, in seconds.
    recovery_time : float
        Time after a disturbance from which the bounds hold again, in
        seconds; infinite where none is named.
    drain_time : float
        Longest time in which a backend server that leaves still gets
        requests, in seconds; infinite where none is named.
    apply_time : float
        Longest time until declarations are in force, in seconds; infinite
        where none is named.
    """

    revocation_time: float | None
    termination_grace: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    max_address_ttl: float
    recovery_time: float
    drain_time: float
    apply_time: float


@dataclasses.dataclass(frozen=True)
class Store:
    """The platform's store.

    Attributes
    ----------
    address : str
        IP number.
    port : int
        TCP port.
    min_lease_ttl : float
        Shortest life of a lease that it grants, in seconds.
    """

    address: str
    port: int
    min_lease_ttl: float = 0.0


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one process.

    Attributes
    ----------
    host_id : HostId
        Identity of this host.
    address : str
        IP number.
    caller_port, ready_port, address_port, metrics_port : int
        TCP ports for callers, for readiness checks, for address answers and
        for metrics.
    peer_port : int
        UDP port for other entry hosts.
    failure_domain : FailureDomain
        Where it stands.
    max_open_files : int
        Descriptors that the process may hold.
    bounds : Bounds
        Promises of the deployment.
    store : Store
        The platform's store.
    """

    host_id: ids.HostId
    address: str
    caller_port: int
    ready_port: int
    address_port: int
    metrics_port: int
    peer_port: int
    failure_domain: ids.FailureDomain
    max_open_files: int
    bounds: Bounds
    store: Store
