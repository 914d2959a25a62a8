"""Client of the platform's services: objects, ordering, usage reports, live list, weights."""

from hickoryloom.platform.messages import *  # noqa: F403
from hickoryloom.platform.messages import __all__ as __all__
