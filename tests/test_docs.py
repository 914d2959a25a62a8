"""Pages of the docs are all in the navigation, and their links lead somewhere."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#\s]+\.md)(?:#[^)]*)?\)")


def pages():
    return sorted(str(page.relative_to(DOCS)) for page in DOCS.rglob("*.md"))


def test_each_page_stands_once_in_the_navigation():
    named = re.findall(r":\s+(\S+\.md)\s*$", (ROOT / "mkdocs.yml").read_text(), re.MULTILINE)
    assert sorted(named) == pages()


def test_links_lead_to_pages():
    broken = [
        (page, link)
        for page in pages()
        for link in LINK.findall((DOCS / page).read_text())
        if not (DOCS / page).parent.joinpath(link).is_file()
    ]
    assert broken == []
