"""Settings of processes, declared and checked."""

from hickoryloom.config.settings import Settings

__all__ = ["Settings"]
