"""Table rows for the calls to the key-value service."""

from bench.capacity import design
from bench.capacity import measurements
from bench.capacity import quantities

SIZE = design.DesignSize()
WATCHERS_PER_DOMAIN = 2
WATCHED_PREFIXES = 2
WATCH_LIFETIME_S = 3.0
VERIFY_INTERVAL_S = 2.0
CLAIM_WRITES_PER_SECOND = 200.0
LEASE_TTL_S = 15.0
RENEWALS_PER_TTL = 3.0


def all_rows(
    slopes: measurements.Recorded,
) -> tuple[quantities.Row, ...]:
    """Return the rows, which do not depend on measured slopes."""
    return _watches() + _writes()


def _watches() -> tuple[quantities.Row, ...]:
    watchers = WATCHERS_PER_DOMAIN * SIZE.failure_domains
    watches = watchers * WATCHED_PREFIXES
    reads = watches / WATCH_LIFETIME_S + watchers / VERIFY_INTERVAL_S
    return (
        quantities.Row(
            'key-value service',
            'watches opened and heads compared',
            '18 watchers x (2 watches/3 s + 1 compare/2 s)',
            reads,
            'calls/s',
            SIZE.kv_reads_per_second,
            'shared/configuration/watching.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            'key-value service',
            'waiting watches',
            '18 watchers x 2 prefixes',
            float(watches),
            'calls',
            None,
            'shared/configuration/watching.py',
            quantities.Status.EXTRAPOLATED,
        ),
    )


def _writes() -> tuple[quantities.Row, ...]:
    renewals = SIZE.models * RENEWALS_PER_TTL / LEASE_TTL_S
    return (
        quantities.Row(
            'home of a claim',
            'writes for claims',
            'bound of the settings, shared by the live hosts in batches',
            CLAIM_WRITES_PER_SECOND,
            'calls/s',
            SIZE.kv_writes_per_second,
            'shared/claims/batch.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            "holder of a service's lease",
            'renewals',
            '5 services x 3 renewals/15 s',
            renewals,
            'calls/s',
            SIZE.kv_writes_per_second,
            'shared/leases/lease.py',
            quantities.Status.EXTRAPOLATED,
        ),
    )
