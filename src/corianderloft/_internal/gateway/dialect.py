"""How the gateway reads and writes the heads of requests and answers."""

import dataclasses
import typing

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_connection

Headers = engine_connection.Headers


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """What a caller says of its request.

    Attributes
    ----------
    request_id : str
        Identity of this request; empty when the caller sent none.
    host : str
        Host that it names, without port.
    key : str or None
        Secret key of its workspace.
    timeout : float or None
        How long the caller waits, in seconds.
    prompt : Prompt or None
        Size of a request to a model.
    resume_after : int or None
        Id of the last event that the caller has.
    forwarded_headers : list of (bytes, bytes)
        Headers that the backend server gets as they are.
    """

    request_id: str
    host: str
    key: str | None
    timeout: float | None
    prompt: instances.Prompt | None
    resume_after: int | None
    forwarded_headers: Headers


@dataclasses.dataclass(frozen=True)
class SendContext:
    """What the gateway adds when it sends a request to a backend server.

    Attributes
    ----------
    engine_id : EngineId
        The only backend server that may run it.
    time_left : float
        Time until nobody waits for the answer, in seconds.
    workspace : WorkspaceId or None
        Who asks.
    priority : int
        Priority at the engine; 0 goes first.
    resume_after : int or None
        Id of the last event that the caller has.
    """

    engine_id: ids.EngineId
    time_left: float
    workspace: ids.WorkspaceId | None
    priority: int
    resume_after: int | None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """What a backend server says of its answer.

    Attributes
    ----------
    request_id : str or None
        Request that it answers, if it says so.
    signed : bool
        Whether it bears the backend server's signature.
    not_run : bool
        Whether it says that the request did not run.
    load : LoadSample or None
        Its load.
    forwarded_headers : list of (bytes, bytes)
        Headers that the caller gets as they are.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    load: instances.LoadSample | None
    forwarded_headers: Headers


class Dialect(typing.Protocol):
    """Translates heads; one plug-in for each kind of backend server."""

    def read_request(self, headers: Headers) -> RequestHead:
        """Return what the headers of a caller's request say."""

    def write_request(
        self,
        head: RequestHead,
        context: SendContext,
        kind: routing.RequestKind,
    ) -> Headers:
        """Return the headers for a backend server."""

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Return what the head of an answer says."""
