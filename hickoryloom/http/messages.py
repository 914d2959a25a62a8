"""The HTTP request of a caller, as passed between packages."""

from __future__ import annotations

import attrs

__all__ = ["Call"]


@attrs.frozen
class Call:
    """One HTTP request.

    Attributes:
        method: Method, in upper case.
        path: Path without the query, percent-decoded once.
        query: Raw query string, without the question mark.
        headers: Pairs of lower-case name and value, in the order received.
        body: Complete body.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of header `name` (lower case), or an empty string."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return ""
