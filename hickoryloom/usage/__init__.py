"""Usage: counting by customer, sealing windows and reporting them once."""

from hickoryloom.usage import counter, messages, reporter
from hickoryloom.usage.counter import *  # noqa: F403
from hickoryloom.usage.messages import *  # noqa: F403
from hickoryloom.usage.reporter import *  # noqa: F403

__all__ = [*counter.__all__, *messages.__all__, *reporter.__all__]
