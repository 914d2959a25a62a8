"""Leases: duties that one process at a time may hold."""

from hickoryloom.leases.messages import *  # noqa: F403
from hickoryloom.leases.messages import __all__ as __all__
