"""Metrics of leases.

Apart from the lease itself, since hosts of the gateway load the metrics
library only when their metrics are read.
"""

from corianderloft._internal.metrics import registry
from corianderloft._internal.shared.leases import lease

TAKEN = registry.counter('leases_taken', 'Leases that this host took.')
LOST = registry.counter('leases_lost', 'Leases that this host lost.')


class LeaseCounts:
    """Implements `lease.Observer`."""

    def taken(self, held: lease.HeldLease) -> None:
        """Count a lease that was acquired."""
        TAKEN.inc({})

    def lost(self, held: lease.HeldLease, cause: str) -> None:
        """Count a lease that was lost, not one that was released."""
        if cause != lease.GIVEN_UP:
            LOST.inc({})
