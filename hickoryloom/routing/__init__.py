"""Routing: which backend server gets an attempt."""

from hickoryloom.routing.messages import *  # noqa: F403
from hickoryloom.routing.messages import __all__ as __all__
