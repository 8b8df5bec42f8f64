"""Loading of a directory of declarations."""

import collections.abc
import dataclasses
import itertools
import os
import pathlib
import typing

from corianderloft._internal.declarations import convert
from corianderloft._internal.declarations import parameters
from corianderloft._internal.declarations import plugin_names
from corianderloft._internal.declarations import schema
from corianderloft._internal.models import catalog
from corianderloft._internal.utils import checking
from corianderloft._internal.utils import yaml_files

SUFFIXES = ('.yaml', '.yml')

Problems = list[checking.Problem]


@dataclasses.dataclass(frozen=True)
class Declarations:
    """All declarations of a directory."""

    services: tuple[catalog.ServiceTemplate, ...]
    workspaces: tuple[catalog.Workspace, ...]


@dataclasses.dataclass(frozen=True)
class DeclarationErrors:
    """All errors found in a directory of declarations."""

    problems: tuple[checking.Problem, ...]

    def __str__(self) -> str:
        return '\n'.join(map(str, self.problems))


@dataclasses.dataclass(frozen=True)
class _Template:
    """A template in its source form and with default parameter values.

    Attributes
    ----------
    file : str
        File that declares it.
    raw : dict
        Declaration with unresolved parameter references.
    parameters : dict of str to Parameter
        Declared parameters.
    value : ServiceTemplate
        Template with the default value of each parameter.
    """

    file: str
    raw: dict[str, typing.Any]
    parameters: dict[str, schema.Parameter]
    value: catalog.ServiceTemplate


def load_directory(
    path: str | os.PathLike[str],
) -> Declarations | DeclarationErrors:
    """Read all YAML files in a directory tree.

    Parameters
    ----------
    path : path
        The directory.

    Returns
    -------
    Declarations or DeclarationErrors
        The declarations, or all errors, each with its file and key.
    """
    root = pathlib.Path(path)
    if not root.is_dir():
        problem = checking.Problem(str(path), '', 'is not a directory')
        return DeclarationErrors((problem,))
    problems: Problems = []
    files = _read_files(root, problems)
    templates = _read_templates(files, problems)
    workspaces = _read_workspaces(files, templates, problems)
    if problems:
        return DeclarationErrors(tuple(problems))
    return Declarations(
        tuple(templates[name].value for name in sorted(templates)),
        tuple(sorted(workspaces, key=lambda w: w.workspace_id)),
    )


def _read_files(
    root: pathlib.Path, problems: Problems
) -> dict[str, schema.DeclarationFile]:
    files = {}
    for path in sorted(p for p in root.rglob('*') if p.suffix in SUFFIXES):
        data = yaml_files.read_yaml(path)
        if isinstance(data, checking.Problem):
            problems.append(data)
            continue
        checked = checking.check(schema.DeclarationFile, data, str(path))
        if isinstance(checked, tuple):
            problems.extend(checked)
        else:
            files[str(path)] = checked
    if not files and not problems:
        problems.append(
            checking.Problem(str(root), '', 'holds no declarations')
        )
    return files


def _read_templates(
    files: collections.abc.Mapping[str, schema.DeclarationFile],
    problems: Problems,
) -> dict[str, _Template]:
    templates: dict[str, _Template] = {}
    for file, content in files.items():
        for name, raw in content.services.items():
            key = checking.join_key('services', name)
            if name in templates:
                other = templates[name].file
                problems.append(
                    checking.Problem(file, key, f'stands in {other} too')
                )
                continue
            template = _read_template(file, key, name, raw)
            if isinstance(template, tuple):
                problems.extend(template)
            else:
                templates[name] = template
    return templates


def _read_template(
    file: str, key: str, name: str, raw: dict[str, typing.Any]
) -> _Template | tuple[checking.Problem, ...]:
    declared = parameters.declared_parameters(raw, file, key)
    if isinstance(declared, tuple):
        return declared
    body = {k: v for k, v in raw.items() if k != 'parameters'}
    unknown = sorted(parameters.references(body) - set(declared))
    if unknown:
        return tuple(
            checking.Problem(
                file,
                key,
                f'refers to ${{{reference}}}, which it does not declare',
                ', '.join(sorted(declared)),
                checking.nearest_name(reference, declared),
            )
            for reference in unknown
        )
    values = parameters.defaults(declared)
    filled = parameters.substitute(body, values)
    checked = checking.check(schema.ServiceDeclaration, filled, file, key)
    if isinstance(checked, tuple):
        return checked
    unregistered = plugin_names.check_template(checked, file, key)
    if unregistered:
        return unregistered
    value = convert.to_template(name, checked)
    return _Template(file, body, declared, value)


def _read_workspaces(
    files: collections.abc.Mapping[str, schema.DeclarationFile],
    templates: collections.abc.Mapping[str, _Template],
    problems: Problems,
) -> list[catalog.Workspace]:
    declaring_files: dict[str, str] = {}
    key_owners: dict[str, str] = {}
    workspaces = []
    for file, content in files.items():
        for name, declared in content.workspaces.items():
            key = checking.join_key('workspaces', name)
            problems.extend(_check_unique(file, key, name, declaring_files))
            problems.extend(
                _check_key_hashes(file, key, name, declared, key_owners)
            )
            problems.extend(_check_references(file, key, declared, templates))
            overrides = _read_overrides(
                file, key, declared, templates, problems
            )
            workspaces.append(convert.to_workspace(name, declared, overrides))
    return workspaces


def _check_unique(
    file: str, key: str, name: str, declaring_files: dict[str, str]
) -> collections.abc.Iterator[checking.Problem]:
    if name in declaring_files:
        yield checking.Problem(
            file, key, f'stands in {declaring_files[name]} too'
        )
    declaring_files.setdefault(name, file)


def _check_key_hashes(
    file: str,
    key: str,
    name: str,
    declared: schema.WorkspaceDeclaration,
    owners: dict[str, str],
) -> collections.abc.Iterator[checking.Problem]:
    for index, key_hash in enumerate(declared.key_hashes):
        owner = owners.setdefault(key_hash, name)
        if owner != name:
            path = checking.join_key(key, 'key_hashes', index)
            yield checking.Problem(
                file, path, f'is a key of workspace {owner!r} too'
            )


def _check_references(
    file: str,
    key: str,
    declared: schema.WorkspaceDeclaration,
    templates: collections.abc.Mapping[str, _Template],
) -> collections.abc.Iterator[checking.Problem]:
    """Yield a problem for each undeclared service and class."""
    for service in declared.services:
        if service not in templates:
            yield checking.Problem(
                file,
                checking.join_key(key, 'services', service),
                'no such service is declared',
                ', '.join(sorted(templates)),
                checking.nearest_name(service, templates),
            )
    used_templates = [
        templates[s].value for s in declared.services if s in templates
    ]
    known = set(
        itertools.chain.from_iterable(
            (str(c.name) for c in template.classes)
            for template in used_templates
        )
    )
    for index, class_name in enumerate(declared.classes):
        if class_name not in known:
            yield checking.Problem(
                file,
                checking.join_key(key, 'classes', index),
                f'no service of the workspace has class {class_name!r}',
                ', '.join(sorted(known)),
                checking.nearest_name(class_name, known),
            )


def _read_overrides(
    file: str,
    key: str,
    declared: schema.WorkspaceDeclaration,
    templates: collections.abc.Mapping[str, _Template],
    problems: Problems,
) -> tuple[catalog.ServiceOverride, ...]:
    overrides = []
    for service, service_use in sorted(declared.services.items()):
        template = templates.get(service)
        if (
            template is None
            or service_use is None
            or not service_use.parameters
        ):
            continue
        path = checking.join_key(key, 'services', service, 'parameters')
        override = _read_override(file, path, template, service_use.parameters)
        if isinstance(override, tuple):
            problems.extend(override)
        elif override is not None:
            overrides.append(override)
    return tuple(overrides)


def _read_override(
    file: str,
    key: str,
    template: _Template,
    assigned: dict[str, schema.ParameterValue],
) -> catalog.ServiceOverride | None | tuple[checking.Problem, ...]:
    """Return the override that results from a workspace's parameters."""
    problems = tuple(_check_parameters(file, key, template, assigned))
    if problems:
        return problems
    values = parameters.defaults(template.parameters) | assigned
    filled = parameters.substitute(template.raw, values)
    checked = checking.check(schema.ServiceDeclaration, filled, file, key)
    if isinstance(checked, tuple):
        return checked
    customized = convert.to_template(template.value.name, checked)
    return convert.to_override(template.value, customized)


def _check_parameters(
    file: str,
    key: str,
    template: _Template,
    assigned: collections.abc.Mapping[str, schema.ParameterValue],
) -> collections.abc.Iterator[checking.Problem]:
    for name, value in assigned.items():
        path = checking.join_key(key, name)
        declared = template.parameters.get(name)
        if declared is None:
            yield checking.Problem(
                file,
                path,
                'the template has no such parameter',
                ', '.join(sorted(template.parameters)),
                checking.nearest_name(name, template.parameters),
            )
            continue
        problem = parameters.check_value(declared, value, file, path)
        if problem is not None:
            yield problem
