"""HTTP server and JSON client, based on gevent, falcon and geventhttpclient."""

from hickoryloom.http import (
    client,
    credential,
    disconnect_watch,
    framing,
    json_parts,
    limits,
    messages,
    response_heads,
    server,
    socket_state,
    write_watch,
)
from hickoryloom.http.client import *  # noqa: F403
from hickoryloom.http.credential import *  # noqa: F403
from hickoryloom.http.disconnect_watch import *  # noqa: F403
from hickoryloom.http.framing import *  # noqa: F403
from hickoryloom.http.json_parts import *  # noqa: F403
from hickoryloom.http.limits import *  # noqa: F403
from hickoryloom.http.messages import *  # noqa: F403
from hickoryloom.http.response_heads import *  # noqa: F403
from hickoryloom.http.server import *  # noqa: F403
from hickoryloom.http.socket_state import *  # noqa: F403
from hickoryloom.http.write_watch import *  # noqa: F403

__all__ = [
    *disconnect_watch.__all__,
    *client.__all__,
    *credential.__all__,
    *framing.__all__,
    *json_parts.__all__,
    *limits.__all__,
    *messages.__all__,
    *response_heads.__all__,
    *server.__all__,
    *socket_state.__all__,
    *write_watch.__all__,
]
