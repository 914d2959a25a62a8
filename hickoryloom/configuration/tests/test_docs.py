"""Checks that the user guide lists every option with its allowed values and default."""

from pathlib import Path

import pytest

from hickoryloom.config import Settings, describe_options
from hickoryloom.configuration import (
    Customer,
    KeyRecord,
    Pool,
    RequestClass,
    Route,
    Service,
    StaticBackend,
)

GUIDE = Path(__file__).resolve().parents[3] / "docs" / "user-guide"
KINDS = (Pool, StaticBackend, Service, Route, RequestClass, Customer, KeyRecord)


def rows_of(page):
    lines = (GUIDE / page).read_text().splitlines()
    return [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines if line[:2] == "| "]


@pytest.mark.parametrize(
    ("page", "kind"),
    [("settings.md", Settings), *(("configuration.md", kind) for kind in KINDS)],
)
def test_page_lists_each_option(page, kind):
    rows = [[row[0], row[-2], row[-1].strip("`")] for row in rows_of(page)]
    for key, allowed, default in describe_options(kind):
        assert [f"`{key}`", allowed, default] in rows
