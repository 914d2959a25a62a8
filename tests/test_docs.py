"""Every documentation page is in the navigation, and links between pages resolve."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#\s]+\.md)(?:#[^)]*)?\)")


def page_paths():
    return sorted(str(page.relative_to(DOCS)) for page in DOCS.rglob("*.md"))


def test_each_page_is_listed_once_in_the_navigation():
    listed = re.findall(r":\s+(\S+\.md)\s*$", (ROOT / "mkdocs.yml").read_text(), re.MULTILINE)
    assert sorted(listed) == page_paths()


def test_links_between_pages_resolve():
    broken = [
        (page, link)
        for page in page_paths()
        for link in LINK.findall((DOCS / page).read_text())
        if not (DOCS / page).parent.joinpath(link).is_file()
    ]
    assert broken == []
