"""Listeners for changes in the local view of the cluster."""

import collections.abc

from corianderloft._internal.models import crashes
from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import routing


class Listener:
    """Base class of listeners; subclasses override the methods they need."""

    def use_table(self, table: routing.RoutingTable) -> None:
        """Handle a new version of the declarations."""

    def use_instances(
        self, current: collections.abc.Sequence[instances.Instance]
    ) -> None:
        """Handle a new list of backend servers."""

    def use_crash_report(self, report: crashes.CrashReport) -> None:
        """Handle a report on a prompt part that crashes servers."""

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Handle a new list of entry hosts."""
