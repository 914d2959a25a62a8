"""Relay: attempts at backend servers, whole answers and true verdicts."""

from hickoryloom.relay.messages import *  # noqa: F403
from hickoryloom.relay.messages import __all__ as __all__
