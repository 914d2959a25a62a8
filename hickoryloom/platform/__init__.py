"""Client of the platform's services: objects, ordering, usage reports, live list, weights."""

from hickoryloom.platform import breaker, budget, client, messages, settle
from hickoryloom.platform.breaker import *  # noqa: F403
from hickoryloom.platform.budget import *  # noqa: F403
from hickoryloom.platform.client import *  # noqa: F403
from hickoryloom.platform.messages import *  # noqa: F403
from hickoryloom.platform.settle import *  # noqa: F403

__all__ = [
    *breaker.__all__,
    *budget.__all__,
    *client.__all__,
    *messages.__all__,
    *settle.__all__,
]
