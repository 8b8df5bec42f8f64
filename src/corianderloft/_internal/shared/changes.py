"""A change of the configuration, as operators submit it."""

import dataclasses

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class ConfigurationChange:
    """What one edit puts and removes, all of it or nothing."""

    services_put: tuple[catalog.ServiceTemplate, ...] = ()
    services_removed: tuple[ids.ServiceName, ...] = ()
    workspaces_put: tuple[catalog.Workspace, ...] = ()
    workspaces_removed: tuple[ids.WorkspaceId, ...] = ()


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change is accepted.

    Attributes
    ----------
    revision : Revision
        Revision of the configuration that holds it.
    confirmed : tuple of HostId
        Hosts that have it in force.
    unreachable : tuple of HostId
        Hosts that are cut off and refuse new work until they have it.
    """

    revision: ids.Revision
    confirmed: tuple[ids.HostId, ...] = ()
    unreachable: tuple[ids.HostId, ...] = ()


@dataclasses.dataclass(frozen=True)
class EditConflict:
    """Another operator was first; nothing was written.

    Attributes
    ----------
    revision : Revision
        Revision that the other change made.
    change_id : ChangeId
        Identity of the other change.
    author : str
        Who made it.
    """

    revision: ids.Revision
    change_id: ids.ChangeId
    author: str


@dataclasses.dataclass(frozen=True)
class ChangeTooLarge:
    """The change touches more keys than one transaction may; split it.

    Attributes
    ----------
    keys : int
        Keys that the change touches.
    limit : int
        Keys that one transaction may touch.
    """

    keys: int
    limit: int


@dataclasses.dataclass(frozen=True)
class ChangeRecord:
    """One accepted change in the history."""

    revision: ids.Revision
    change_id: ids.ChangeId
    author: str
    changed_at: float
    summary: str
