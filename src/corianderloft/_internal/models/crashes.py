"""Reports on prompt parts that crash backend servers."""

import dataclasses

from corianderloft._internal.models import ids

ServerRun = tuple[ids.EngineId, int]
"""ID and start time of a backend server."""


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """Crashes of one prompt part.

    Attributes
    ----------
    part_id : PromptPartId
        The part.
    crashed : frozenset of ServerRun
        Servers that crashed with a request that had the part.
    cleared : frozenset of ServerRun
        Those of them after whose crash a response with the part was complete.
    """

    part_id: ids.PromptPartId
    crashed: frozenset[ServerRun]
    cleared: frozenset[ServerRun] = frozenset()
