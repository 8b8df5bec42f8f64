"""Entry hosts as registered with the platform."""

import dataclasses

from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class Member:
    """One run of an entry host, from its start to its end.

    Attributes
    ----------
    host_id : HostId
        ID of the host.
    address : str
        IP address.
    port : int
        TCP port for callers.
    peer_port : int
        UDP port for other entry hosts.
    failure_domain : FailureDomain
        Failure domain that it is deployed in.
    start : str
        Random string that distinguishes restarts of a host.
    version : int
        Version of the declarations that it had in force when it registered;
        0 if unknown.
    era : Era or None
        Era of the store in which it registered; None if unknown.
    link_kbps : int
        Bandwidth of its link, in kbit/s; 0 if unknown.
    """

    host_id: ids.HostId
    address: str
    port: int
    peer_port: int
    failure_domain: ids.FailureDomain
    start: str
    version: int = dataclasses.field(default=0, compare=False)
    era: ids.Era | None = dataclasses.field(default=None, compare=False)
    link_kbps: int = dataclasses.field(default=0, compare=False)
