"""Membership: which entries live, and what they tell each other."""

from hickoryloom.membership.messages import *  # noqa: F403
from hickoryloom.membership.messages import __all__ as __all__
