"""Settings of a process."""

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
    """Settings that a process reads at startup.

    Attributes:
        instance: Name of the instance.
        failure_domain: Failure domain in which the instance runs.
        region: Region of the failure domain; empty if there is only one region.
        listen: `host:port` for callers; port 0 selects a free port.
        peer_listen: `host:port` for other entries; port 0 selects a free port.
        admin_listen: `host:port` for operators; port 0 selects a free port.
        advertise: `host:port` announced to peers; empty for the address of `peer_listen`.
        platform: `host:port` of the platform's API.
        seeds: Peer addresses to query when the platform is unavailable.
        backend_credential: Bearer token that entries send to backend servers.
        peer_secret: Bearer token that entries send to each other.
        ready_file: File to which the bound addresses are written as JSON; empty for none.
        window_s: Length of a usage window in seconds.
        lease_s: Duration of a lease in seconds, counted from each renewal; must be the same in all
            control processes.
        drain_s: Seconds for which a stopping entry still accepts requests, until the load
            balancer has noticed.
        log_level: Minimum level of log messages that are written.
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
