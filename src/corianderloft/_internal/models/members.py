"""Entry hosts as they register themselves."""

import dataclasses

from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class Member:
    """One start of an entry host.

    Attributes
    ----------
    host_id : HostId
        Identity of the host.
    address : str
        IP number.
    port : int
        TCP port for callers.
    peer_port : int
        UDP port for other entry hosts.
    failure_domain : FailureDomain
        Where it stands.
    start : str
        Random text that tells two starts of a host apart.
    """

    host_id: ids.HostId
    address: str
    port: int
    peer_port: int
    failure_domain: ids.FailureDomain
    start: str
