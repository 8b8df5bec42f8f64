"""A caller's request after its checks."""

import dataclasses
import typing

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests


@dataclasses.dataclass(frozen=True)
class Origin:
    """Who sends a request, to which service and in which class.

    Attributes
    ----------
    workspace : Workspace
        Workspace whose key was presented.
    service : ServiceTemplate
        Service asked for.
    request_class : RequestClass
        Class asked for.
    caller_id : str
        Request id as the caller knows it; unique in the workspace.
    """

    workspace: catalog.Workspace
    service: catalog.ServiceTemplate
    request_class: catalog.RequestClass
    caller_id: str

    @property
    def request_id(self) -> ids.RequestId:
        """The request id that no other workspace can send."""
        return qualified(self.workspace.workspace_id, self.caller_id)


@dataclasses.dataclass(frozen=True)
class ChatCall:
    """One chat completion.

    Attributes
    ----------
    origin : Origin
        Who sends it.
    ticket : Ticket
        What the decisions know about it.
    body : dict
        Checked JSON body.
    stream : bool
        Whether the caller wants a stream of events.
    seeded : bool
        Whether the caller chose the seed.
    have : int
        Tokens that the caller has from another host.
    model : ModelVersion or None
        Model version that began the answer on another host.
    """

    origin: Origin
    ticket: requests.Ticket
    body: dict[str, typing.Any]
    stream: bool
    seeded: bool = True
    have: int = 0
    model: ids.ModelVersion | None = None


@dataclasses.dataclass(frozen=True)
class PlainCall:
    """One call of a plain service.

    Attributes
    ----------
    origin : Origin
        Who sends it.
    ticket : Ticket
        What the decisions know about it.
    method : str
        HTTP method.
    target : bytes
        Path with query, as the service sees it.
    headers : list of (bytes, bytes)
        Headers that are passed on.
    body : bytes
        Body.
    key : IdempotencyKey or None
        Under which the call runs at most once.
    """

    origin: Origin
    ticket: requests.Ticket
    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    key: ids.IdempotencyKey | None


def qualified(workspace: ids.WorkspaceId, caller_id: str) -> ids.RequestId:
    """Return the id under which all of the system knows a request."""
    return ids.RequestId(f'{workspace}:{caller_id}')
