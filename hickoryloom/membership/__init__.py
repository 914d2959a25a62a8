"""Membership: detects live entry processes and exchanges heartbeats between them."""

from hickoryloom.membership import messages
from hickoryloom.membership.messages import *  # noqa: F403
from hickoryloom.membership.presence import PRESENCE_PREFIX, PresenceManager
from hickoryloom.membership.task import Membership

__all__ = [*messages.__all__, "PRESENCE_PREFIX", "Membership", "PresenceManager"]
