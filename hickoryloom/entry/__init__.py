"""The entry process: serves callers and connects the components of an entry."""

from hickoryloom.entry.messages import ClassSummary
from hickoryloom.entry.process import Entry, build_entry

__all__ = ["ClassSummary", "Entry", "build_entry"]
