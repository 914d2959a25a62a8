"""A caller's HTTP call, as the slices hand it to each other."""

from __future__ import annotations

import attrs

__all__ = ["Call"]


@attrs.frozen
class Call:
    """One HTTP request.

    Attributes:
        method: Method in upper case.
        path: Path without query, percent-decoded once.
        query: Raw query string, without the question mark.
        headers: Names in lower case with their values, in order.
        body: Whole body.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of header `name` (lower case), or an empty string."""
        for found, value in self.headers:
            if found == name:
                return value
        return ""
