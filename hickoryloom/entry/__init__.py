"""The entry process: serves callers with the slices joined together."""

from hickoryloom.entry.messages import ClassSummary
from hickoryloom.entry.process import Entry, build_entry

__all__ = ["ClassSummary", "Entry", "build_entry"]
