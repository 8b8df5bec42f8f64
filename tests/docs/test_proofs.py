"""Tests and test files named in docs/PROOFS.md exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'PROOFS.md').read_text()
FOLDERS = {'F/': 'tests/functional/', 'U/': 'tests/unit/'}
CODE = '\n'.join(p.read_text() for p in (ROOT / 'tests').rglob('test_*.py'))


@pytest.mark.parametrize(
    'name', sorted(set(re.findall(r'[FU]/[a-z_/]+\.py', PAGE)))
)
def test_file_exists(name: str) -> None:
    assert (ROOT / (FOLDERS[name[:2]] + name[2:])).is_file()


@pytest.mark.parametrize(
    'name', sorted(set(re.findall(r'`(test_[a-z_]+)`', PAGE)))
)
def test_test_exists(name: str) -> None:
    assert f'def {name}(' in CODE
