"""One request of a caller, checked, on its way through the gateway."""

import dataclasses

from corianderloft._internal.gateway import dialect
from corianderloft._internal.models import routing
from corianderloft._internal.placement import interface


@dataclasses.dataclass(frozen=True)
class Call:
    """A request that a route and a workspace were found for.

    Attributes
    ----------
    method : str
        HTTP method.
    target : bytes
        Path with query, as the caller sent it.
    head : RequestHead
        What its headers say.
    body : bytes
        Its whole body.
    workspace : Workspace or None
        Who asks.
    job : Job
        What the decisions know of it.
    """

    method: str
    target: bytes
    head: dialect.RequestHead
    body: bytes
    workspace: routing.Workspace | None
    job: interface.Job

    @property
    def kind(self) -> routing.RequestKind:
        """What may be repeated."""
        return self.job.route.kind
