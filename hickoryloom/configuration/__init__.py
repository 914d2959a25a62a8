"""Operators' documents: reading, checking, publishing and following them."""

from hickoryloom.configuration import documents, snapshot
from hickoryloom.configuration.documents import *  # noqa: F403
from hickoryloom.configuration.snapshot import *  # noqa: F403

__all__ = [*documents.__all__, *snapshot.__all__]
