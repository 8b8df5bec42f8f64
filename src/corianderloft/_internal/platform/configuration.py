"""The operator's configuration document."""

import functools
import logging
import math
import typing

import orjson

from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.utils import integers

logger = logging.getLogger(__name__)

MAX_ENGINES = 10**6
"""Bound on the engines of a service in one failure domain."""

MAX_KNOWN_ROUTES = 8192
"""Routes that are kept decoded: most are the same in the next version, and a
slow core takes a second for those of the largest document."""

_Document = dict[str, typing.Any]


def decode(value: bytes) -> routing.RoutingTable | None:
    """Return the routing table of a document, or None if it is malformed."""
    try:
        document = orjson.loads(value)
        return _table(document)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _table(document: _Document) -> routing.RoutingTable:
    services = map(_service, document['services'])
    tenants = document.get('tenants') or ()
    limits = document.get('limits') or {}
    return routing.RoutingTable(
        version=int(document['version']),
        routes=routing.group_by_host(
            _route(orjson.dumps(route)) for route in document['routes']
        ),
        services={service.name: service for service in services},
        keys={
            key: _workspace(tenant)
            for tenant in tenants
            for key in tenant['api_keys']
        },
        has_workspaces='tenants' in document,
        limits=routing.CallerLimits(
            header_bytes=int(limits.get('max_header_bytes', 16384)),
            body_bytes=int(limits.get('max_body_bytes', 4194304)),
            header_time=limits.get('header_timeout_ms', 3000) / 1000,
            idle_time=limits.get('idle_timeout_ms', 15000) / 1000,
        ),
    )


def _workspace(tenant: _Document) -> routing.Workspace:
    priority = tenant.get('priority')
    return routing.Workspace(
        ids.WorkspaceId(tenant['name']),
        None if priority is None else ids.Tier(int(priority)),
    )


@functools.lru_cache(MAX_KNOWN_ROUTES)
def _route(encoded: bytes) -> routing.Route:
    route: _Document = orjson.loads(encoded)
    timeout: float = route['timeout_ms'] / 1000
    target_gap: float | None = route.get('target_gap_ms')
    return routing.Route(
        name=route['name'],
        host=route['host'],
        path_prefix=route['path_prefix'],
        kind=_kind(route),
        tier=ids.Tier(int(route.get('priority', 0))),
        timeout=timeout,
        target=route.get('target_latency_ms', timeout * 1000) / 1000,
        gap_target=None if target_gap is None else target_gap / 1000,
        attempts=max(1, int(route.get('attempts', 1))),
        public=bool(route.get('public_access', False)),
        shares=_shares(route),
    )


def _kind(route: _Document) -> routing.RequestKind:
    if route['kind'] != 'streaming':
        return routing.RequestKind(route['kind'])
    if route.get('stream_resume'):
        return routing.RequestKind.RESUMABLE_STREAM
    return routing.RequestKind.STREAM


def _shares(route: _Document) -> tuple[routing.Share, ...]:
    split = route.get('traffic_split')
    if not split:
        return (routing.Share(ids.ServiceName(route['service']), 1.0),)
    shares = tuple(
        routing.Share(ids.ServiceName(part['service']), float(part['weight']))
        for part in split
        if part['weight'] > 0
    )
    if not 0 < sum(share.weight for share in shares) < math.inf:
        raise ValueError(f'route {route["name"]!r}: no service has a share')
    return shares


def _service(service: _Document) -> routing.RoutedService:
    engine = service.get('engine')
    return routing.RoutedService(
        name=ids.ServiceName(service['name']),
        health_path=service.get('health_path', '/'),
        max_connections=int(service.get('max_connections', 100)),
        model=(
            routing.ModelService(
                slots=int(engine['slots']),
                memory_tokens=int(engine['kv_capacity_tokens']),
            )
            if engine
            else None
        ),
        scaling=_scaling(service),
    )


def _scaling(service: _Document) -> routing.Scaling | None:
    """Return the bounds and prices of a service; None if none are valid."""
    scaling = service.get('scaling')
    if scaling is None:
        return None
    try:
        return _valid_scaling(scaling)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        logger.warning(
            'engines of a service cannot be ordered',
            extra={'service': service['name'], 'cause': repr(exc)},
        )
        return None


def _valid_scaling(scaling: _Document) -> routing.Scaling:
    min_engines = integers.bounded(scaling['min'], 0, MAX_ENGINES)
    max_engines = integers.bounded(scaling['max'], 0, MAX_ENGINES)
    if min_engines > max_engines:
        raise ValueError(f'min {min_engines} exceeds max {max_engines}')
    reclaimable_price = scaling.get('spot_price')
    prices = {
        ids.FailureDomain(domain): _non_negative(price)
        for domain, price in scaling['zone_prices'].items()
    }
    return routing.Scaling(
        min_engines=min_engines,
        max_engines=max_engines,
        boot_time=_non_negative(scaling['boot_time_s']),
        reclaimable_price=(
            None
            if reclaimable_price is None
            else _non_negative(reclaimable_price)
        ),
        prices=prices,
    )


def _non_negative(value: typing.Any) -> float:
    """Return a number that must be finite and not negative."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'{value!r} is not a number')
    if not 0 <= value < math.inf:
        raise ValueError(f'{value!r} is out of range')
    return float(value)
