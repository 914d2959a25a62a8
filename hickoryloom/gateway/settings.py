"""Settings of a gateway process."""

from __future__ import annotations

import attrs

__all__ = ["GatewaySettings"]


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        instance: Name of the instance.
        failure_domain: Failure domain in which the instance runs.
        listen: `host:port` that serves callers.
        readiness: `host:port` for the load balancer's readiness checks.
        operators: `host:port` that serves metrics and status; empty to disable it.
        store: `host:port` of the object store.
        store_writes_per_s: Write rate limit of the store, shared by all instances.
        store_reads_per_s: Read rate limit of the store, shared by all instances.
        duties: `host:port` that receives usage reports and server orders; empty if there is none.
        reports_usage: Whether usage is reported.
        orders_servers: Whether backend servers are ordered.
        apply_s: Seconds within which a configuration change must take effect.
        revoke_s: Seconds within which a withdrawn key must stop working.
        catch_up_s: Seconds after a network partition within which an instance must have received
            all changes.
        leave_s: Seconds after a backend server has announced that it leaves within which it must
            get no more requests.
        evacuation_s: Seconds after an evacuation of a failure domain was requested within which its
            backend servers must get no more requests; 0 if nobody requests evacuations.
        stop_s: Seconds from the shutdown request until the process is killed.
        retry_ratio: Retries allowed per request of a service, over all instances.
        retry_slack: Additional retries allowed per window, over all instances.
        retry_window_s: Length of the window in which retries are counted, in seconds.
        lease_s: Validity of a lease renewal, in seconds.
        usage_window_s: Length of a usage window in seconds; 0 if usage is not reported.
        usage_late_s: Seconds after the end of a window within which its report must arrive.
        shares_room: Whether customers beyond their fair share are refused while room is short.
        bounds_memory: Whether everything that is held on behalf of others is bounded together, and
            callers that read nothing are disconnected.
        memory_bytes: Memory of the instance in bytes; 0 if not stated.
        spreads_prompts: Whether prompts are spread over engines from the first one on, see
            `hickoryloom/placing/homes.py`.
        weighs_failure_domains: Whether requests leave the failure domain only where that saves a
            good part of their target, see `hickoryloom/placing/locality.py`.
        warm_up_overrun: Factor on the rate of a cold backend server that it bears.
        warm_up_tolerance: Requests that a cold backend server bears in each second in addition.
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
    leave_s: float = 2.0
    evacuation_s: float = 0.0
    stop_s: float = 8.0
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    usage_window_s: float = 0.0
    usage_late_s: float = 10.0
    shares_room: bool = False
    bounds_memory: bool = False
    memory_bytes: int = 0
    spreads_prompts: bool = False
    weighs_failure_domains: bool = False
    warm_up_overrun: float = 1.0
    warm_up_tolerance: float = 0.0
