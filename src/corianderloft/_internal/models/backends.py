"""Backend servers, and what they report of their load."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class Backend:
    """One backend server: a model engine or an instance of a plain service.

    Attributes
    ----------
    engine_id : EngineId
        Identity of the backend server.
    service : ServiceName
        Service that it belongs to.
    supplier : SupplierName
        Supplier or engine vendor.
    model : ModelVersion
        Model version that it serves.
    address : str
        IP number.
    port : int
        TCP port.
    failure_domain : FailureDomain
        Where it stands.
    slots : int
        Requests that it runs at the same time.
    state : BackendState
        Whether it may be given new work.
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
    """Load that an engine reports of itself, late.

    Attributes
    ----------
    engine_id : EngineId
        Engine that reports.
    measured_at : float
        When the load was measured, in the reader's clock, in seconds.
    running : int
        Requests in slots.
    waiting : int
        Requests queued in the engine.
    cached_fraction : float
        Part of the prefix cache in use, from 0 to 1.
    """

    engine_id: ids.EngineId
    measured_at: float
    running: int
    waiting: int
    cached_fraction: float = 0.0
