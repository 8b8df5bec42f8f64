"""Validated caller requests."""

import dataclasses
import typing

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests


@dataclasses.dataclass(frozen=True)
class Origin:
    """Workspace, service and class of a request.

    Attributes
    ----------
    workspace : Workspace
        Workspace that the presented key belongs to.
    service : ServiceTemplate
        Requested service.
    request_class : RequestClass
        Requested class.
    caller_request_id : str
        Request id chosen by the caller; unique within the workspace.
    """

    workspace: catalog.Workspace
    service: catalog.ServiceTemplate
    request_class: catalog.RequestClass
    caller_request_id: str

    @property
    def request_id(self) -> ids.RequestId:
        """Request id qualified by the workspace, unique across the system."""
        return qualified_request_id(
            self.workspace.workspace_id, self.caller_request_id
        )


@dataclasses.dataclass(frozen=True)
class ChatCall:
    """One chat completion.

    Attributes
    ----------
    origin : Origin
        Workspace, service and class of the request.
    ticket : Ticket
        Data for scheduling and routing decisions.
    body : dict
        Validated JSON body.
    stream : bool
        Whether the caller requested a stream of events.
    seeded : bool
        Whether the caller set the seed.
    resume_after : int
        Tokens that the caller already received from another host.
    model : ModelVersion or None
        Model version that started the response on another host.
    """

    origin: Origin
    ticket: requests.Ticket
    body: dict[str, typing.Any]
    stream: bool
    seeded: bool = True
    resume_after: int = 0
    model: ids.ModelVersion | None = None


@dataclasses.dataclass(frozen=True)
class PlainCall:
    """One call of a plain service.

    Attributes
    ----------
    origin : Origin
        Workspace, service and class of the request.
    ticket : Ticket
        Data for scheduling and routing decisions.
    method : str
        HTTP method.
    target : bytes
        Path and query sent to the service.
    headers : list of (bytes, bytes)
        Headers forwarded to the service.
    body : bytes
        Body.
    idempotency_key : IdempotencyKey or None
        Key under which the call runs at most once.
    """

    origin: Origin
    ticket: requests.Ticket
    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    idempotency_key: ids.IdempotencyKey | None


def qualified_request_id(
    workspace: ids.WorkspaceId, caller_request_id: str
) -> ids.RequestId:
    """Return the request id that is unique across all workspaces."""
    return ids.RequestId(f'{workspace}:{caller_request_id}')
