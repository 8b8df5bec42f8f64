"""docs/settings.md matches the settings models."""

import pathlib

from corianderloft._internal.settings import document

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'


def test_every_key_has_a_description() -> None:
    assert document.undocumented() == []


def test_page_matches_the_models() -> None:
    written = PAGE.read_text(encoding='utf-8')
    assert written == document.document(), 'run `make docs`'
