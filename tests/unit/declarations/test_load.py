"""Tests of loading and comparing declarations."""

import pathlib

import pytest

from corianderloft._internal import declarations
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

SERVICE = """
services:
  lace-model:
    kind: model
    parameters:
      quick_target_s: {default: 1.9, minimum: 0.1, maximum: 10}
      supplier: {default: nile, choices: [nile, delta]}
    classes:
      stock: {tier: 0, first_token_target_s: "${quick_target_s}"}
      quote: {tier: 1}
    routes:
      - {supplier: "${supplier}", model: lace-7b}
"""
WORKSPACE = """
workspaces:
  cairo:
    key_hashes: []
    services:
      lace-model: {parameters: {quick_target_s: 0.8}}
  luxor:
    key_hashes: []
    services: {lace-model: }
    classes: [quote]
"""


def _load(
    tmp_path: pathlib.Path, *texts: str
) -> declarations.Declarations | declarations.DeclarationErrors:
    for number, text in enumerate(texts):
        (tmp_path / f'{number}.yaml').write_text(text)
    return declarations.load_directory(tmp_path)


def _load_valid(
    tmp_path: pathlib.Path, *texts: str
) -> declarations.Declarations:
    loaded = _load(tmp_path, *texts)
    assert isinstance(loaded, declarations.Declarations), str(loaded)
    return loaded


def test_workspace_parameters_change_only_that_workspace(
    tmp_path: pathlib.Path,
) -> None:
    loaded = _load_valid(tmp_path, SERVICE, WORKSPACE)
    template = loaded.services[0]
    cairo, luxor = loaded.workspaces
    customized = cairo.apply(template).request_class('stock')
    assert customized is not None and customized.first_token_target == 0.8
    assert luxor.apply(template) is template
    assert cairo.apply(template).routes == template.routes
    assert luxor.classes == ('quote',)


def test_a_workspace_may_choose_its_supplier(tmp_path: pathlib.Path) -> None:
    text = WORKSPACE.replace('quick_target_s: 0.8', 'supplier: delta')
    loaded = _load_valid(tmp_path, SERVICE, text)
    routes = loaded.workspaces[0].apply(loaded.services[0]).routes
    assert [r.supplier for r in routes] == ['delta']


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('quick_target_s: 0.8', 'quik_target_s: 1', "mean 'quick_target_s'"),
        ('quick_target_s: 0.8', 'quick_target_s: 99', 'at most 10'),
        ('quick_target_s: 0.8', 'supplier: gamma', 'nile | delta'),
        ('[quote]', '[quotes]', "did you mean 'quote'?"),
        ('lace-model: }', 'lace-modl: }', "did you mean 'lace-model'?"),
        ('key_hashes: []', 'key_hashes: [abc]', 'key_hashes.0'),
        ('workspaces:', 'workspace:', "did you mean 'workspaces'?"),
    ],
)
def test_workspace_errors_name_file_and_allowed_values(
    tmp_path: pathlib.Path, old: str, new: str, expected: str
) -> None:
    loaded = _load(tmp_path, SERVICE, WORKSPACE.replace(old, new, 1))
    assert isinstance(loaded, declarations.DeclarationErrors)
    assert '1.yaml' in str(loaded)
    assert expected in str(loaded)


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('tier: 1', 'teir: 1', "did you mean 'tier'?"),
        ('kind: model', 'kind: engine', 'model | plain'),
        ('"${supplier}"', '"${suplier}"', "did you mean 'supplier'?"),
        ('tier: 1', 'tier: 99', 'at most 15'),
    ],
)
def test_template_errors_name_key_and_allowed_values(
    tmp_path: pathlib.Path, old: str, new: str, expected: str
) -> None:
    loaded = _load(tmp_path, SERVICE.replace(old, new, 1))
    assert isinstance(loaded, declarations.DeclarationErrors)
    assert 'services.lace-model' in str(loaded)
    assert expected in str(loaded)


def test_duplicate_name_or_key_is_an_error(
    tmp_path: pathlib.Path,
) -> None:
    key_hash = 'a' * 64
    with_key = WORKSPACE.replace('key_hashes: []', f'key_hashes: [{key_hash}]')
    errors = str(_load(tmp_path, SERVICE, SERVICE, with_key, WORKSPACE))
    assert '1.yaml: services.lace-model: stands in' in errors
    assert '3.yaml: workspaces.cairo: stands in' in errors
    assert "is a key of workspace 'cairo' too" in errors


def test_the_same_declarations_change_nothing(tmp_path: pathlib.Path) -> None:
    loaded = _load_valid(tmp_path, SERVICE, WORKSPACE)
    in_force = catalog.Catalog(
        ids.Revision(7), loaded.services, loaded.workspaces
    )
    assert declarations.compare(in_force, loaded).empty
    first = declarations.compare(catalog.Catalog(ids.Revision(0)), loaded)
    assert [line.action.value for line in first.lines] == ['add'] * 3


def test_supplier_swap_updates_one_service(tmp_path: pathlib.Path) -> None:
    loaded = _load_valid(tmp_path, SERVICE, WORKSPACE)
    in_force = catalog.Catalog(
        ids.Revision(7), loaded.services, loaded.workspaces
    )
    swapped = _load_valid(
        tmp_path, SERVICE.replace('default: nile', 'default: delta')
    )
    diff = declarations.compare(in_force, swapped)
    assert [s.name for s in diff.change.services_put] == ['lace-model']
    assert ('routes.delta/lace-7b', 'order 0, weight 1') in [
        (line.field, line.after) for line in diff.lines
    ]


def test_unknown_plugin_is_an_error(tmp_path: pathlib.Path) -> None:
    text = SERVICE.replace('kind: model', 'kind: model\n    balancer: fifi')
    errors = str(_load(tmp_path, text))
    assert (
        "services.lace-model.balancer: no balancer is called 'fifi'" in errors
    )
    assert 'round_robin' in errors
