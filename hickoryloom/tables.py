"""Plain-text tables for the command line."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

__all__ = ["render_table"]

COLUMN_SEPARATOR = "  "


def render_table(
    headings: Sequence[str], rows: Iterable[Sequence[object]], indent: str = ""
) -> str:
    """Return a table whose columns are as wide as their widest cell.

    Args:
        headings: Heading of each column.
        rows: Cells of each row, one per column.
        indent: Prefix of each line.
    """
    cells = [tuple(headings), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    lines = (
        indent
        + COLUMN_SEPARATOR.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)
