"""Configuration changes submitted by operators, and their results."""

import dataclasses

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class ConfigurationChange:
    """Puts and removals of one edit, applied atomically."""

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
        Revision of the configuration that contains the change.
    confirmed : tuple of HostId
        Hosts that have applied the change.
    unreachable : tuple of HostId
        Unreachable hosts; they refuse new work until they have applied it.
    """

    revision: ids.Revision
    confirmed: tuple[ids.HostId, ...] = ()
    unreachable: tuple[ids.HostId, ...] = ()


@dataclasses.dataclass(frozen=True)
class EditConflict:
    """Another change was written first; this one was not written.

    Attributes
    ----------
    revision : Revision
        Revision of the other change.
    change_id : ChangeId
        Id of the other change.
    author : str
        Author of the other change.
    """

    revision: ids.Revision
    change_id: ids.ChangeId
    author: str


@dataclasses.dataclass(frozen=True)
class ChangeTooLarge:
    """The change affects too many keys for one transaction; split it.

    Attributes
    ----------
    keys : int
        Number of keys that the change affects.
    limit : int
        Maximum number of keys in one transaction.
    """

    keys: int
    limit: int


@dataclasses.dataclass(frozen=True)
class ChangeRecord:
    """One accepted change in the change history."""

    revision: ids.Revision
    change_id: ids.ChangeId
    author: str
    changed_at: float
    summary: str
