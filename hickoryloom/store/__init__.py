"""Client for the platform services: objects, server orders, usage reports, live list, weights."""

from hickoryloom.store import (
    availability,
    breaker,
    budget,
    client,
    codec,
    conditional_writes,
    eras,
    messages,
)
from hickoryloom.store.availability import *  # noqa: F403
from hickoryloom.store.breaker import *  # noqa: F403
from hickoryloom.store.budget import *  # noqa: F403
from hickoryloom.store.client import *  # noqa: F403
from hickoryloom.store.codec import *  # noqa: F403
from hickoryloom.store.conditional_writes import *  # noqa: F403
from hickoryloom.store.eras import *  # noqa: F403
from hickoryloom.store.messages import *  # noqa: F403

__all__ = [
    *availability.__all__,
    *breaker.__all__,
    *budget.__all__,
    *client.__all__,
    *codec.__all__,
    *eras.__all__,
    *messages.__all__,
    *conditional_writes.__all__,
]
