"""Usage: counting by customer, sealing windows and reporting them once."""

from hickoryloom.usage.messages import *  # noqa: F403
from hickoryloom.usage.messages import __all__ as __all__
