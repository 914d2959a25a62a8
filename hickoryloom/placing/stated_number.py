"""Reads the numbers that backend servers state in their responses."""

from __future__ import annotations

import re

__all__ = ["parse_stated_number"]

NUMBER = re.compile(r"-?[0-9]{1,300}(\.[0-9]{1,300})?")


def parse_stated_number(value: str, maximum: float) -> tuple[float | None, bool]:
    """Return a stated decimal number, bounded to 0 to `maximum`, and whether it was sound.

    The number is None if the value is not a decimal number.
    """
    text = value.strip()
    if not NUMBER.fullmatch(text):
        return None, False
    number = float(text)
    bounded = min(max(number, 0.0), maximum)
    return bounded, bounded == number
