"""Backend servers and their load reports."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class Backend:
    """One backend server: a model engine or an instance of a plain service.

    Attributes
    ----------
    engine_id : EngineId
        Unique ID of the backend server.
    service : ServiceName
        Service that the backend server belongs to.
    supplier : SupplierName
        Supplier or engine vendor.
    model : ModelVersion
        Model version that is served.
    address : str
        IP address.
    port : int
        TCP port.
    failure_domain : FailureDomain
        Failure domain that it is deployed in.
    slots : int
        Maximum number of requests processed concurrently.
    state : BackendState
        Whether it accepts new requests.
    """

    engine_id: ids.EngineId
    service: ids.ServiceName
    supplier: ids.SupplierName
    model: ids.ModelVersion
    address: str
    port: int
    failure_domain: ids.FailureDomain
    slots: int = 8
    state: states.BackendState = states.BackendState.LIVE


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load reported by an engine; stale by the time it is received.

    Attributes
    ----------
    engine_id : EngineId
        Engine that the report is about.
    measured_at : float
        Time of the measurement on the receiver's clock, in seconds.
    running : int
        Requests that occupy slots.
    waiting : int
        Requests queued in the engine.
    cached_fraction : float
        Fraction of the prefix cache in use, from 0 to 1.
    """

    engine_id: ids.EngineId
    measured_at: float
    running: int
    waiting: int
    cached_fraction: float = 0.0
