"""What one host knows of one engine."""

import dataclasses

from corianderloft._internal.models import backends
from corianderloft._internal.models import states


@dataclasses.dataclass(eq=False)
class EngineView:
    """One backend server as this host sees it.

    Attributes
    ----------
    backend : Backend
        Identity, place and slots.
    in_flight : int
        Attempts of this host that hold a slot.
    long_in_flight : int
        Those of them for which a long answer is expected.
    report : LoadReport or None
        Its latest report of its own load.
    """

    backend: backends.Backend
    in_flight: int = 0
    long_in_flight: int = 0
    report: backends.LoadReport | None = None

    @property
    def takes_new_work(self) -> bool:
        """Whether it may be given new work."""
        return self.backend.state is states.BackendState.LIVE
