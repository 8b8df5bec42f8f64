"""Differences between two versions of the operator's document."""

import hashlib

from corianderloft._internal.declarations import diff
from corianderloft._internal.models import routing

MAX_HASH_CHARS = 12
"""Characters of the hash that stands for a key: keys are secret."""


def compare(
    before: routing.RoutingTable, after: routing.RoutingTable
) -> tuple[diff.DiffLine, ...]:
    """Return the differences, without the keys of workspaces."""
    limits = {'limits': before.limits}, {'limits': after.limits}
    return (
        *diff.compare_items('route', _routes(before), _routes(after)),
        *diff.compare_items('service', before.services, after.services),
        *diff.compare_items('key', _keys(before), _keys(after)),
        *diff.compare_items('callers', *limits),
    )


def _routes(table: routing.RoutingTable) -> dict[str, routing.Route]:
    """Return routes by host and name, with a number if that is not unique."""
    named: dict[str, routing.Route] = {}
    for host, routes in table.routes.items():
        for route in routes:
            name, number = f'{host}/{route.name}', 1
            while name in named:
                number += 1
                name = f'{host}/{route.name}#{number}'
            named[name] = route
    return named


def _keys(table: routing.RoutingTable) -> dict[str, routing.Workspace]:
    return {
        hashlib.sha256(key.encode()).hexdigest()[:MAX_HASH_CHARS]: workspace
        for key, workspace in table.keys.items()
    }
