"""Which declarations are in force here, and what they prove."""

import abc

from corianderloft._internal.gateway import change_budget
from corianderloft._internal.gateway import confirmation
from corianderloft._internal.gateway import later_versions
from corianderloft._internal.models import routing
from corianderloft._internal.utils import clock


class DeclaredCopy(confirmation.ConfirmedCopy, abc.ABC):
    """Copy of the store with the declarations in force.

    Parameters
    ----------
    min_outage : float
        Shortest outage of the store in which the entry of a live server or
        host may expire, in seconds; 0 if that is not known.
    revocation_time : float or None
        Maximum time for which a revoked key may be honoured, in seconds.
    apply_time : float
        Maximum time until declarations take effect, in seconds; infinite if
        unspecified.

    Attributes
    ----------
    table : RoutingTable or None
        Current declarations; None until the first were read.
    declaration_bytes : int
        Size of their entry in the store.
    apply_s : float
        Time that they took from their entry until they were in force, in
        seconds.
    """

    def __init__(
        self,
        min_outage: float,
        revocation_time: float | None,
        apply_time: float,
    ) -> None:
        super().__init__(min_outage)
        self._revocation_time = revocation_time
        self._apply_time = apply_time
        self._later_versions = later_versions.LaterVersions()
        self.table: routing.RoutingTable | None = None
        self.declaration_bytes = 0
        self.apply_s = 0.0

    @abc.abstractmethod
    def is_current(self) -> bool:
        """Return whether the copy is fresh enough to honour keys."""

    @property
    def version(self) -> int:
        """Version of the declarations in force; 0 before the first."""
        return 0 if self.table is None else self.table.version

    def newest_version(self) -> int:
        """Return the newest version that this or another host has."""
        return self._later_versions.newest(self.version, clock.now())

    def use_version(self, version: int) -> None:
        """Use the version that another host has, or knows of."""
        self._later_versions.note(version, self.version, clock.now())

    def use_bounds(
        self, revocation_time: float | None, apply_time: float
    ) -> None:
        """Change how long a revoked key or an old version may be used.

        Parameters
        ----------
        revocation_time : float or None
            Maximum time for which a revoked key may be honoured, in seconds.
        apply_time : float
            Maximum time until declarations take effect, in seconds.
        """
        self._revocation_time = revocation_time
        self._apply_time = apply_time

    def is_overdue(self) -> bool:
        """Return whether a later version should have arrived by now."""
        missing_for = self._missing_for()
        return missing_for is not None and missing_for > (
            change_budget.max_missing_time(self._apply_time)
        )

    def can_deny(self) -> bool:
        """Return whether a route or key that is not known does not exist.

        A later version may have it, and so may one that this host has not
        heard of, if nothing has confirmed the view in time.
        """
        if self._missing_for() is not None or not self.is_current():
            return False
        return self.age() < change_budget.max_denial_age(
            self._apply_time, self._store_failing
        )

    def _missing_for(self) -> float | None:
        return self._later_versions.missing_for(self.version, clock.now())

    def _is_newer_table(self, table: routing.RoutingTable) -> bool:
        """Return whether declarations are to replace those in force.

        A store that came back from a copy may hold older ones. A version
        that it lost may be given out again for other declarations.
        """
        if self.table is None or table.version > self.table.version:
            return True
        return table.version == self.table.version and table != self.table
