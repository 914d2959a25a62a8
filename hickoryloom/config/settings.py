"""Settings of one process."""

from __future__ import annotations

import attrs

from hickoryloom.config.options import Address, Choice, ListOf, Name, Number, Secret, Text
from hickoryloom.config.records import declare

__all__ = ["Settings"]

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")
MIN_WINDOW_S = 1.0
MAX_WINDOW_S = 3600.0
MIN_LEASE_S = 1.0
MAX_LEASE_S = 60.0
MAX_DRAIN_S = 600.0


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
        lease_s: Seconds for which a renewal of a lease lasts; the same in all control processes.
        drain_s: Seconds for which a stopping entry still accepts, until the balancer has noticed.
        log_level: Lowest level written.
    """

    instance: str = attrs.field(metadata=declare(Name()))
    failure_domain: str = attrs.field(metadata=declare(Name()))
    platform: str = attrs.field(metadata=declare(Address()))
    region: str = attrs.field(default="", metadata=declare(Name(optional=True)))
    listen: str = attrs.field(default="127.0.0.1:0", metadata=declare(Address(any_port=True)))
    peer_listen: str = attrs.field(default="127.0.0.1:0", metadata=declare(Address(any_port=True)))
    admin_listen: str = attrs.field(default="127.0.0.1:0", metadata=declare(Address(any_port=True)))
    advertise: str = attrs.field(default="", metadata=declare(Address(optional=True)))
    seeds: tuple[str, ...] = attrs.field(default=(), metadata=declare(ListOf(Address())))
    backend_credential: str = attrs.field(default="", repr=False, metadata=declare(Secret()))
    peer_secret: str = attrs.field(default="", repr=False, metadata=declare(Secret()))
    ready_file: str = attrs.field(default="", metadata=declare(Text("a path, or an empty string")))
    window_s: float = attrs.field(
        default=60.0, metadata=declare(Number(MIN_WINDOW_S, MAX_WINDOW_S))
    )
    lease_s: float = attrs.field(default=10.0, metadata=declare(Number(MIN_LEASE_S, MAX_LEASE_S)))
    drain_s: float = attrs.field(default=5.0, metadata=declare(Number(0.0, MAX_DRAIN_S)))
    log_level: str = attrs.field(default="INFO", metadata=declare(Choice(LOG_LEVELS)))
