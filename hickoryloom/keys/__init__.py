"""API keys of callers: authentication, removal from forwarded calls, and withdrawal."""

from hickoryloom.keys import (
    authenticating,
    key_format,
    messages,
    open_calls,
    scrubbing,
    view_guard,
    withdrawal_task,
)
from hickoryloom.keys.authenticating import *  # noqa: F403
from hickoryloom.keys.key_format import *  # noqa: F403
from hickoryloom.keys.messages import *  # noqa: F403
from hickoryloom.keys.open_calls import *  # noqa: F403
from hickoryloom.keys.scrubbing import *  # noqa: F403
from hickoryloom.keys.view_guard import *  # noqa: F403
from hickoryloom.keys.withdrawal_task import *  # noqa: F403

__all__ = [
    *authenticating.__all__,
    *key_format.__all__,
    *messages.__all__,
    *open_calls.__all__,
    *scrubbing.__all__,
    *view_guard.__all__,
    *withdrawal_task.__all__,
]
