"""Backend servers as registered with the platform."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class Instance:
    """One run of a backend server, from its start to its end.

    Attributes
    ----------
    engine_id : EngineId
        ID of the backend server; may stay the same after a restart.
    started_at_ms : int
        Start time, in milliseconds since 1970; 0 if unknown.
        Distinguishes restarts under the same ID.
    service : ServiceName
        Service that the backend server belongs to.
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
    reclaimable : bool
        Whether the platform may take it away at short notice.
    leaves_after : float or None
        Time after which it ends, in seconds, as of its newest entry; None if
        it has not said so.
    """

    engine_id: ids.EngineId
    started_at_ms: int
    service: ids.ServiceName
    address: str
    port: int
    failure_domain: ids.FailureDomain
    slots: int
    state: states.BackendState
    reclaimable: bool = False
    leaves_after: float | None = None


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: ids.PromptPartId
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Size of a request, as stated by its caller.

    Attributes
    ----------
    tokens : int
        Length of the prompt, in tokens.
    max_output : int
        Maximum number of output tokens requested.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is specific to the
        request or session.
    """

    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may share."""
        return self.parts[:-1]

    @property
    def unshared_tokens(self) -> int:
        """Tokens of the part that is specific to the request or session."""
        return self.parts[-1].tokens if self.parts else self.tokens


@dataclasses.dataclass(frozen=True)
class LoadSample:
    """Load that a backend server reports with a response.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that occupy slots, queued requests, and number of slots.
    slowdown : float
        Current processing time relative to normal; 1 is normal speed.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
