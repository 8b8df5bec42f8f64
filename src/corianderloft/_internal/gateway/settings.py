"""Settings of a gateway process."""

import dataclasses
import enum

from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Guarantees of the deployment that the gateway must meet.

    Attributes
    ----------
    revocation_time : float or None
        Maximum time for which a host that cannot reach the store may still
        honour a revoked key, in seconds; None if there is no limit.
    termination_grace : float
        Time between the stop signal and the kill, in seconds.
    retry_ratio : float
        Retries that a service may receive for each request to it.
    retry_slack : float
        Additional retries that it may receive in each window.
    retry_window : float
        Length of the window in seconds.
    max_address_ttl : float
        Maximum time for which callers cache an address list, in seconds.
    recovery_time : float
        Time after a disturbance from which the guarantees hold again, in
        seconds; infinite if unspecified.
    drain_time : float
        Maximum time for which a draining backend server still receives
        requests, in seconds; infinite if unspecified.
    apply_time : float
        Maximum time until declarations take effect, in seconds; infinite if
        unspecified.
    entry_expiry : float
        Time after which the store removes the entry of a backend server that
        has fallen silent, in seconds; 0 if unspecified.
    min_outage : float
        Shortest outage of the store in which the entry of a live backend
        server may expire, in seconds; 0 if unspecified.
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
    entry_expiry: float = 0.0
    min_outage: float = 0.0


@dataclasses.dataclass(frozen=True)
class Store:
    """Connection settings of the platform's store.

    Attributes
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    min_lease_ttl : float
        Shortest TTL of a lease that the store grants, in seconds.
    """

    address: str
    port: int
    min_lease_ttl: float = 0.0


class DutyKind(enum.Enum):
    """Calls to the platform's API that one host at a time may make."""

    USAGE = 'usage'
    SCALING = 'scaling'


@dataclasses.dataclass(frozen=True)
class PlatformApi:
    """Connection settings of the platform's API.

    Attributes
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    duties : frozenset of DutyKind
        Duties that the platform asks for.
    calls_per_s : float
        Calls per second that it accepts from all hosts together.
    """

    address: str
    port: int
    duties: frozenset[DutyKind]
    calls_per_s: float


@dataclasses.dataclass(frozen=True)
class DutyBounds:
    """Guarantees of the deployment for duties of one host at a time.

    Attributes
    ----------
    lease_time : float
        Time in which the holder may not change to another host and back, in
        seconds.
    report_window : float
        Length of a window of usage in seconds.
    usage_delay : float
        Time after the end of a window in which its usage is due, in seconds.
    fencing_checked : bool
        Whether the platform rejects calls with an outdated fencing token.
    """

    lease_time: float
    report_window: float
    usage_delay: float
    fencing_checked: bool


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes
    ----------
    host_id : HostId
        ID of this host.
    address : str
        IP address of this host.
    caller_port, ready_port, address_port, metrics_port : int
        TCP ports for callers, readiness checks, address lists and metrics.
    peer_port : int
        UDP and TCP port for other entry hosts.
    failure_domain : FailureDomain
        Failure domain of this host.
    max_open_files : int
        Limit on the file descriptors of the process.
    bounds : Bounds
        Guarantees of the deployment.
    store : Store
        Connection settings of the platform's store.
    link_kbps : int
        Bandwidth of the link of this host, in kbit/s; 0 if unknown.
    platform_api : PlatformApi or None
        Set if the platform asks for duties.
    duty_bounds : DutyBounds or None
        Set together with ``platform_api``.
    memory_bytes : int
        Memory that this process may use, in bytes; 0 if unknown.
    memory_admission : bool
        Whether requests are admitted by the memory that engines have left.
    hedge_extra_work : float
        Work of second attempts as a share of the work started, from 0 to 1; 0
        means that there are none.
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
    link_kbps: int = 0
    platform_api: PlatformApi | None = None
    duty_bounds: DutyBounds | None = None
    memory_bytes: int = 0
    memory_admission: bool = False
    hedge_extra_work: float = 0.0
