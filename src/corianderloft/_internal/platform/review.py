"""Finds entries of an operator's document that have no effect.

Used before a document is put in force; hosts do not read it.
"""

import collections
import collections.abc
import dataclasses
import enum
import re

import orjson

from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.platform import configuration

_PATH_PREFIX = re.compile(r'[!->@-~]*')
"""What a path may begin with: the characters of a request target, without the
question mark that begins the query."""


class Kind(enum.Enum):
    """What is wrong with an entry.

    UNREACHABLE means that no request can match it, UNUSED that nothing refers
    to it, and CONTRADICTION that two of its limits exclude each other.
    """

    UNREACHABLE = 'unreachable'
    UNUSED = 'unused'
    CONTRADICTION = 'contradiction'


@dataclasses.dataclass(frozen=True)
class Finding:
    """One entry that does not do what its operator may expect.

    Attributes
    ----------
    kind : Kind
        What is wrong.
    entry : str
        Kind and name of the entry.
    detail : str
        Reason.
    """

    kind: Kind
    entry: str
    detail: str


def review(document: bytes) -> tuple[Finding, ...] | None:
    """Return all findings in a document; None if it is malformed."""
    table = configuration.decode(document)
    if table is None:
        return None
    return (
        *(
            Finding(Kind.UNREACHABLE, f'route/{route.name}', detail)
            for route, detail in unreachable(table)
        ),
        *_contradictions(table),
        *_unused(table),
        *_shared_keys(orjson.loads(document)),
    )


def unreachable(
    table: routing.RoutingTable,
) -> collections.abc.Iterator[tuple[routing.Route, str]]:
    """Yield the routes that no request matches, with the reason.

    Hosts compare the name in the ``Host`` header without its port and in lower
    case, and the path as it was sent, without the query.
    """
    for host, routes in table.routes.items():
        seen: dict[str, str] = {}
        for route in routes:
            prefix = route.path_prefix
            if ':' in host or host != host.lower():
                yield route, f'no request names the host {host!r}'
            elif not _PATH_PREFIX.fullmatch(prefix):
                yield route, f'no path begins with {prefix!r}'
            elif prefix in seen:
                yield route, f'route {seen[prefix]!r} has the same prefix'
            seen.setdefault(prefix, route.name)


def _contradictions(
    table: routing.RoutingTable,
) -> collections.abc.Iterator[Finding]:
    for routes in table.routes.values():
        for route in routes:
            for detail in _route_contradictions(route, table):
                yield Finding(
                    Kind.CONTRADICTION, f'route/{route.name}', detail
                )
    for service in table.services.values():
        if service.max_connections < 1:
            yield Finding(
                Kind.CONTRADICTION,
                f'service/{service.name}',
                f'max_connections {service.max_connections} lets no request '
                'through',
            )
        elif service.model and service.model.slots > service.max_connections:
            yield Finding(
                Kind.CONTRADICTION,
                f'service/{service.name}',
                f'{service.model.slots} slots, but max_connections '
                f'{service.max_connections}',
            )


def _route_contradictions(
    route: routing.Route, table: routing.RoutingTable
) -> collections.abc.Iterator[str]:
    if route.target > route.timeout:
        yield (
            f'target_latency_ms {route.target * 1000:g} is beyond timeout_ms '
            f'{route.timeout * 1000:g}'
        )
    if route.gap_target is not None and route.gap_target > route.timeout:
        yield (
            f'target_gap_ms {route.gap_target * 1000:g} is beyond timeout_ms '
            f'{route.timeout * 1000:g}'
        )
    if route.attempts > 1 and not route.kind.repeatable:
        yield f'attempts {route.attempts}, but it may not be repeated'
    if route.kind is routing.RequestKind.RESUMABLE_STREAM:
        if route.attempts < 2:
            yield 'stream_resume, but only one attempt'
    for share in route.shares:
        if share.service not in table.services:
            yield f'service {share.service!r} is not declared'
    if not route.public and table.has_workspaces and not table.keys:
        yield 'it needs a key, but there are none'


def _unused(table: routing.RoutingTable) -> collections.abc.Iterator[Finding]:
    used: set[ids.ServiceName] = {
        share.service
        for routes in table.routes.values()
        for route in routes
        for share in route.shares
    }
    for name in table.services:
        if name not in used:
            yield Finding(
                Kind.UNUSED, f'service/{name}', 'no route sends requests to it'
            )


def _shared_keys(document: object) -> collections.abc.Iterator[Finding]:
    """Yield the workspaces whose keys a later one has as well."""
    assert isinstance(document, dict)
    owners: dict[str, list[str]] = collections.defaultdict(list)
    for tenant in document.get('tenants') or ():
        for key in tenant['api_keys']:
            owners[key].append(tenant['name'])
    for names in owners.values():
        for name in names[:-1]:
            if name != names[-1]:
                yield Finding(
                    Kind.UNREACHABLE,
                    f'tenant/{name}',
                    f'one of its keys belongs to tenant {names[-1]!r} too, '
                    'which gets its requests',
                )
