"""Finds declarations that have no effect or contradict each other."""

import collections.abc

from corianderloft._internal.declarations import load
from corianderloft._internal.models import catalog


def review(
    declared: load.Declarations,
) -> collections.abc.Iterator[tuple[str, str, str]]:
    """Yield kind, entry and reason of each finding."""
    used = {name for w in declared.workspaces for name in w.services}
    for service in declared.services:
        if service.name not in used:
            yield 'unused', f'service/{service.name}', 'no workspace uses it'
        yield from _service(service, f'service/{service.name}')
    by_name = {service.name: service for service in declared.services}
    for workspace in declared.workspaces:
        entry = f'workspace/{workspace.workspace_id}'
        if not workspace.key_hashes:
            yield 'unreachable', entry, 'it has no key'
        if not workspace.services:
            yield 'unreachable', entry, 'it may use no service'
        for override in workspace.overrides:
            if override.service in by_name:
                applied = workspace.apply(by_name[override.service])
                yield from _service(applied, f'{entry}/{override.service}')


def _service(
    service: catalog.ServiceTemplate, entry: str
) -> collections.abc.Iterator[tuple[str, str, str]]:
    if not any(route.weight for route in service.routes):
        yield 'contradiction', entry, 'no route has a weight above 0'
    for request_class in service.classes:
        if request_class.first_token_target > request_class.deadline:
            yield (
                'contradiction',
                f'{entry}/class/{request_class.name}',
                f'first_token_target_s {request_class.first_token_target:g} is'
                f' beyond deadline_s {request_class.deadline:g}',
            )
