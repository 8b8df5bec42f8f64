"""Tests that docs/settings.md is true."""

import pathlib

from corianderloft._internal.settings import document

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'


def test_every_key_has_a_description() -> None:
    assert document.undocumented() == []


def test_the_page_agrees_with_the_models() -> None:
    written = PAGE.read_text(encoding='utf-8')
    assert written == document.document(), 'run `make docs`'
