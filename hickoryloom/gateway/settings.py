"""Settings of a gateway process."""

from __future__ import annotations

import attrs

__all__ = ["GatewaySettings"]


@attrs.frozen
class GatewaySettings:
    """What a gateway process is told when it starts.

    Attributes:
        instance: Name of the instance.
        failure_domain: Where it runs.
        listen: `host:port` for callers.
        readiness: `host:port` that the balancer asks.
        operators: `host:port` for metrics and status; empty for none.
        store: `host:port` of the object store.
        store_writes_per_s: Writes that the store takes from all instances together.
        store_reads_per_s: Reads that the store takes from all instances together.
        duties: `host:port` that takes usage reports and orders; empty for none.
        reports_usage: Whether usage is reported.
        orders_servers: Whether backend servers are ordered.
        apply_s: Seconds within which a change of the configuration must be in force.
        revoke_s: Seconds after its withdrawal within which a key must stop working.
        catch_up_s: Seconds after a cut's end within which an instance must know all changes.
        stop_s: Seconds from the request to stop until the process is killed.
        retry_ratio: Retries allowed for each request of a service, over all instances.
        retry_slack: Retries allowed beside these in one window, over all instances.
        retry_window_s: Seconds of the window in which retries are counted.
        lease_s: Seconds for which a renewal of a lease lasts.
        usage_window_s: Seconds of one usage window; 0 where none is reported.
    """

    instance: str
    failure_domain: str
    listen: str
    readiness: str
    store: str
    operators: str = ""
    store_writes_per_s: float = 400.0
    store_reads_per_s: float = 2000.0
    duties: str = ""
    reports_usage: bool = False
    orders_servers: bool = False
    apply_s: float = 2.0
    revoke_s: float = 5.0
    catch_up_s: float = 3.0
    stop_s: float = 8.0
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    usage_window_s: float = 0.0
