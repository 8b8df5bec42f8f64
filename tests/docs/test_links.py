"""Links and file names on the documentation pages exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PAGES = sorted([*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')])
PAGE_IDS = [str(page.relative_to(ROOT)) for page in PAGES]

LINK = re.compile(r'\]\(([^)#\s]+)(?:#[^)]*)?\)')
FILE_NAME = re.compile(
    r'`((?:docs|examples|src|tests|bench|news)/[A-Za-z0-9_./-]*)`'
)


@pytest.mark.parametrize('page', PAGES, ids=PAGE_IDS)
def test_links_and_file_names_exist(page: pathlib.Path) -> None:
    text = page.read_text(encoding='utf-8')
    links = [
        page.parent / link for link in LINK.findall(text) if '://' not in link
    ]
    names = [ROOT / name for name in FILE_NAME.findall(text)]
    missing = [str(p) for p in (*links, *names) if not p.exists()]
    assert missing == []
