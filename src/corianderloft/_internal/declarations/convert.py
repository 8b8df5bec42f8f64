"""Conversion of validated declarations to catalog values."""

from corianderloft._internal.declarations import schema
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids


def to_template(
    name: str, declared: schema.ServiceDeclaration
) -> catalog.ServiceTemplate:
    """Convert a service declaration to a template."""
    return catalog.ServiceTemplate(
        name=ids.ServiceName(name),
        kind=declared.kind,
        classes=tuple(
            _to_class(class_name, item)
            for class_name, item in sorted(declared.classes.items())
        ),
        routes=tuple(map(_to_route, declared.routes)),
        fencing=declared.fencing,
        balancer=declared.balancer,
        queue_policy=declared.queue_policy,
        limiter=declared.limiter,
        retry_rule=declared.retry_rule,
    )


def to_workspace(
    name: str,
    declared: schema.WorkspaceDeclaration,
    overrides: tuple[catalog.ServiceOverride, ...],
) -> catalog.Workspace:
    """Convert a workspace declaration to a workspace."""
    return catalog.Workspace(
        workspace_id=ids.WorkspaceId(name),
        key_hashes=tuple(declared.key_hashes),
        services=tuple(map(ids.ServiceName, sorted(declared.services))),
        classes=tuple(map(ids.ClassName, sorted(declared.classes))),
        limits=catalog.WorkspaceLimits(
            requests_per_second=declared.limits.requests_per_second,
            tokens_per_second=declared.limits.tokens_per_second,
            weight=declared.limits.weight,
        ),
        overrides=overrides,
    )


def to_override(
    template: catalog.ServiceTemplate, customized: catalog.ServiceTemplate
) -> catalog.ServiceOverride | None:
    """Return what ``customized`` changes in ``template``, or None."""
    classes = tuple(c for c in customized.classes if c not in template.classes)
    routes = customized.routes if customized.routes != template.routes else ()
    if not classes and not routes:
        return None
    return catalog.ServiceOverride(template.name, classes, routes)


def _to_class(
    name: str, declared: schema.ClassDeclaration
) -> catalog.RequestClass:
    return catalog.RequestClass(
        name=ids.ClassName(name),
        tier=ids.Tier(declared.tier),
        first_token_target=declared.first_token_target_s,
        token_gap_target=declared.token_gap_target_s,
        deadline=declared.deadline_s,
        idempotent=declared.idempotent,
        max_tokens=declared.max_tokens,
    )


def _to_route(declared: schema.RouteDeclaration) -> catalog.SupplierRoute:
    return catalog.SupplierRoute(
        supplier=ids.SupplierName(declared.supplier),
        model=ids.ModelVersion(declared.model),
        weight=declared.weight,
        order=declared.order,
    )
