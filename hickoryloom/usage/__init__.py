"""Usage accounting: counts usage per customer, seals time windows and reports each window once."""

from hickoryloom.usage import counter, messages, reporter
from hickoryloom.usage.counter import *  # noqa: F403
from hickoryloom.usage.messages import *  # noqa: F403
from hickoryloom.usage.reporter import *  # noqa: F403

__all__ = [*counter.__all__, *messages.__all__, *reporter.__all__]
