"""Design size of the fleet, as required by the users."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DesignSize:
    """Counts, rates and budgets at the design size.

    Attributes
    ----------
    hosts, engines, accelerators, workspaces, models : int
        Numbers of each.
    tiers, regions, failure_domains : int
        Numbers of each.
    requests_per_second, tokens_per_second : float
        Peak load of the fleet.
    changes_per_day, failures_per_day, restarts_per_day : float
        Events per day.
    in_force_bound : float
        Time limit for a change to be in force on all hosts, in seconds.
    control_core_fraction : float
        CPU budget of one host for control traffic, as a fraction of a core.
    control_memory : float
        Memory budget of one host for control traffic, in bytes.
    control_bytes_per_second : float
        Network budget of one host for control traffic, in bytes/s.
    kv_writes_per_second, kv_reads_per_second : float
        Capacity of the key-value service.
    """

    hosts: int = 380
    engines: int = 3_400
    accelerators: int = 6_800
    workspaces: int = 36_000
    models: int = 5
    tiers: int = 6
    regions: int = 3
    failure_domains: int = 9
    requests_per_second: float = 4_400.0
    tokens_per_second: float = 1_300_000.0
    changes_per_day: float = 10_000.0
    failures_per_day: float = 57.0
    restarts_per_day: float = 340.0
    in_force_bound: float = 8.0
    control_core_fraction: float = 0.046
    control_memory: float = 128e6
    control_bytes_per_second: float = 3_000.0
    kv_writes_per_second: float = 300.0
    kv_reads_per_second: float = 2_000.0

    @property
    def tokens_per_host(self) -> float:
        """Tokens per second that one host relays at peak load."""
        return self.tokens_per_second / self.hosts

    @property
    def requests_per_host(self) -> float:
        """Requests per second that one host receives at peak load."""
        return self.requests_per_second / self.hosts
