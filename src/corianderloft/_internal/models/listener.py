"""Whoever is told of changes in what a host believes."""

import collections.abc

from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import routing


class Listener:
    """Is told of what changed; subclasses override what they need."""

    def use_table(self, table: routing.RoutingTable) -> None:
        """Take over new declarations."""

    def use_instances(
        self, current: collections.abc.Sequence[instances.Instance]
    ) -> None:
        """Take over a new list of backend servers."""

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Take over a new list of entry hosts."""
