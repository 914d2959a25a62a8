"""Reads the numbers that backend servers state in their responses."""

from __future__ import annotations

import re
import sys
from typing import Any

__all__ = ["is_finite_number", "parse_stated_number"]

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


def is_finite_number(value: Any) -> bool:
    """Return whether a decoded JSON value is a number that a float can hold."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return -sys.float_info.max <= value <= sys.float_info.max
