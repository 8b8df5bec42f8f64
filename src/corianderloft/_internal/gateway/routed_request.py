"""A caller's request that passed all checks and has a route."""

import dataclasses

from corianderloft._internal.gateway import dialect
from corianderloft._internal.models import routing
from corianderloft._internal.placement import interface


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """A request with its route and, unless the route is public, workspace.

    Attributes
    ----------
    method : str
        HTTP method.
    target : bytes
        Path with query, as the caller sent it.
    head : RequestHead
        Parsed request headers.
    body : bytes
        Complete request body.
    workspace : Workspace or None
        Workspace of the caller.
    job : Job
        Input for choosing a backend server.
    http_version : str
        Version of HTTP that the caller speaks.
    """

    method: str
    target: bytes
    head: dialect.RequestHead
    body: bytes
    workspace: routing.Workspace | None
    job: interface.Job
    http_version: str = '1.1'

    @property
    def kind(self) -> routing.RequestKind:
        """Whether the request may be retried or resumed."""
        return self.job.route.kind
