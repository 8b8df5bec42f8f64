"""Backend servers as they register themselves with the platform."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class Instance:
    """One start of a backend server.

    Attributes
    ----------
    engine_id : EngineId
        Identity; may be kept over a restart.
    born : int
        When it started, in milliseconds since 1970; 0 when unknown. Tells
        two starts under one identity apart.
    service : ServiceName
        Service that it belongs to.
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
    born: int
    service: ids.ServiceName
    address: str
    port: int
    failure_domain: ids.FailureDomain
    slots: int
    state: states.BackendState


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a caller says of the size of its request.

    Attributes
    ----------
    tokens : int
        Length of the prompt.
    max_output : int
        Largest answer asked for, in tokens.
    parts : tuple of PromptPart
        The prompt in order; the last part is the request's or session's
        own.
    """

    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class LoadSample:
    """What a backend server says of its load along with an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in slots, requests queued, and slots.
    slowdown : float
        How long work takes on its host just now; 1 is usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
