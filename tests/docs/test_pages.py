"""Names on the documentation pages exist, and the pages are complete.

Metrics, commands and modules on the pages must exist in the code, and every
reason, command, exit code and package must be on its page.
"""

import enum
import importlib
import itertools
import pathlib
import pkgutil
import re

import corianderloft._internal
from corianderloft._internal.cli import exit_codes
from corianderloft._internal import commands
from corianderloft._internal.metrics import registry
from corianderloft._internal.models import reasons

ROOT = pathlib.Path(__file__).parents[2]
PAGES = sorted([*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')])
OPERATORS = ROOT / 'docs' / 'operators'

COMMANDS = set(commands.COMMANDS.names())
METRIC = re.compile(r'`(corianderloft_[a-z_]+)')


def _import_everything() -> None:
    package = corianderloft._internal
    for module in pkgutil.walk_packages(
        package.__path__, f'{package.__name__}.'
    ):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)


def test_metrics_on_the_pages_exist() -> None:
    _import_everything()
    found = set(
        itertools.chain.from_iterable(
            METRIC.findall(page.read_text(encoding='utf-8')) for page in PAGES
        )
    )
    known = set(registry.REGISTRY.collectors)
    assert found
    assert sorted(found - known) == []


def test_every_reason_is_documented() -> None:
    text = (OPERATORS / 'refusals.md').read_text(encoding='utf-8')
    kinds = [
        kind
        for kind in vars(reasons).values()
        if isinstance(kind, type) and issubclass(kind, enum.Enum)
    ]
    missing = [
        f'{kind.__name__}.{reason.name}'
        for kind in kinds
        for reason in kind
        if f'| `{reason.value}` |' not in text
    ]
    assert missing == []


def test_every_command_and_exit_code_is_listed() -> None:
    text = (OPERATORS / 'commands.md').read_text(encoding='utf-8')
    names = [
        name
        for name in commands.COMMANDS.names()
        if not re.search(rf'`{re.escape(name)}[` ]', text)
    ]
    codes = [
        code.name
        for code in exit_codes.ExitCode
        if f'| {code.value} | `{code.name}` |' not in text
    ]
    assert names == []
    assert codes == []


def test_modules_on_the_architecture_page_exist() -> None:
    text = (ROOT / 'docs' / 'ARCHITECTURE.md').read_text(encoding='utf-8')
    package = ROOT / 'src' / 'corianderloft' / '_internal'
    named = set(re.findall(r'`([a-z_]+(?:\.[a-z_]+)*)`', text)) - COMMANDS
    missing = [
        name
        for name in named
        if not (package / name.replace('.', '/')).is_dir()
        and not (package / f'{name.replace(".", "/")}.py').is_file()
    ]
    assert sorted(missing) == []


def test_every_package_is_on_the_architecture_page() -> None:
    text = (ROOT / 'docs' / 'ARCHITECTURE.md').read_text(encoding='utf-8')
    package = ROOT / 'src' / 'corianderloft' / '_internal'
    packages = {p.parent.name for p in package.glob('*/__init__.py')}
    missing = [p for p in packages if f'`{p}`' not in text]
    assert sorted(missing) == []
