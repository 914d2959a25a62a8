"""Settings of one process."""

from __future__ import annotations

import attrs

__all__ = ["Settings"]


@attrs.frozen
class Settings:
    """What a process is told when it starts.

    Attributes:
        instance: Name of the instance.
        failure_domain: Where it runs.
        region: Region of the failure domain; empty where there is one region.
        listen: `host:port` for callers; port 0 takes a free one.
        peer_listen: `host:port` for other entries; port 0 takes a free one.
        admin_listen: `host:port` for operators; port 0 takes a free one.
        advertise: `host:port` that peers are told; empty for the address of `peer_listen`.
        platform: `host:port` of the platform's API.
        seeds: Peer addresses to ask when the platform is down.
        backend_credential: The token that entries show to backend servers.
        peer_secret: The token that entries show to each other.
        ready_file: File that is written with the bound addresses as JSON, empty for none.
        window_s: Seconds of one usage window.
        log_level: Lowest level written.
    """

    instance: str
    failure_domain: str
    platform: str
    region: str = ""
    listen: str = "127.0.0.1:0"
    peer_listen: str = "127.0.0.1:0"
    admin_listen: str = "127.0.0.1:0"
    advertise: str = ""
    seeds: tuple[str, ...] = ()
    backend_credential: str = ""
    peer_secret: str = ""
    ready_file: str = ""
    window_s: float = 60.0
    log_level: str = "INFO"
