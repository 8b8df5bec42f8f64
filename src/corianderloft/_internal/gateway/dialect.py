"""Interface for parsing and building HTTP request and response headers."""

import dataclasses
import typing

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_connection

Headers = engine_connection.Headers


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """Parsed headers of a caller's request.

    Attributes
    ----------
    request_id : str
        ID of the request; empty when the caller sent none.
    host : str
        Requested host name, without the port.
    key : str or None
        API key of the workspace.
    timeout : float or None
        How long the caller waits for the response, in seconds.
    prompt : Prompt or None
        Prompt size of a request to a model.
    resume_after : int or None
        ID of the last event that the caller received.
    forwarded_headers : list of (bytes, bytes)
        Headers that are forwarded to the backend server unchanged.
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
    """Values that the gateway adds when it sends a request to a backend.

    Attributes
    ----------
    engine_id : EngineId
        The only backend server that may run the request.
    time_left : float
        Time until the deadline of the request, in seconds.
    workspace : WorkspaceId or None
        Workspace of the caller.
    priority : int
        Priority at the engine; 0 is the highest.
    resume_after : int or None
        ID of the last event that the caller received.
    """

    engine_id: ids.EngineId
    time_left: float
    workspace: ids.WorkspaceId | None
    priority: int
    resume_after: int | None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Parsed headers of a backend server's response.

    Attributes
    ----------
    request_id : str or None
        ID of the request that the response belongs to, if present.
    signed : bool
        Whether the response carries the backend server's signature.
    not_run : bool
        Whether the backend server states that the request did not run.
    load : LoadSample or None
        Load reported by the backend server.
    rate_limit : float or None
        Requests per second that the backend server takes from all hosts
        together, while it is under pressure.
    leaving : bool
        Whether the backend server says that it leaves.
    refuses_for : float or None
        Time for which the backend server, which turned the request away,
        wants no requests from this host, in seconds.
    forwarded_headers : list of (bytes, bytes)
        Headers that are forwarded to the caller unchanged.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    load: instances.LoadSample | None
    rate_limit: float | None
    leaving: bool
    refuses_for: float | None
    forwarded_headers: Headers


class Dialect(typing.Protocol):
    """Parses and builds headers for one kind of backend server."""

    def read_request(self, headers: Headers) -> RequestHead:
        """Parse the headers of a caller's request."""

    def write_request(
        self,
        head: RequestHead,
        context: SendContext,
        kind: routing.RequestKind,
    ) -> Headers:
        """Return the request headers for a backend server."""

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the head of a backend server's response."""
