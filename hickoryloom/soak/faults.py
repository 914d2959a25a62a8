"""The faults that a soak test injects, registered by name."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable

import attrs
import gevent

from hickoryloom.soak.instances import Instances
from hickoryloom.soak.link import Link
from hickoryloom.soak.messages import ALL_SUBJECTS, Limits
from hickoryloom.soak.operator import Operator
from hickoryloom.soak.plan import PlannedFault
from hickoryloom.soak.ports import SoakSite
from hickoryloom.soak.record import Record

__all__ = ["DEFAULT_FAULTS", "FAULTS", "PLANNED_WORK", "FaultContext", "inject"]

MAX_BLOCK_DELAY_S = 0.3
"""Maximum delay of a block on a slow link: 50 times the response time of the store."""

SERVER_FAULT_MODES = ("reject", "lose-answer", "cut", "spoil", "foreign", "fail")
STORE_FAULT_MODES = ("busy", "silent", "reset", "lose-writes")
LIMITS = (
    Limits(),
    Limits(timeout_s=3.8, header_timeout_s=2.5, idle_s=1.5),
    Limits(timeout_s=8.0, header_timeout_s=10.0, idle_s=120.0),
)
"""Limits that callers of the soak keep within, whichever are in force."""

HANG_BEFORE_STOP_S = 0.5
"""Time for which duty calls hang before their holder is stopped, so that one is in progress."""

PLANNED_WORK = (
    *("planned-stop",) * 4,
    *("holder-stop",) * 2,
    "reload",
    "signals",
    "limits",
    "key-withdrawn",
    "route-comes-and-goes",
    "configuration-storm",
)
"""Faults that are work of operators rather than faults of the environment; stops come more
often, since a process is unavailable for them for seconds after each."""

MIN_SERVERS = 2
"""Backend servers of a service that should be left without faults, so that requests can be served.

Not enforced here: `SoakSite.servers` decides which servers may get faults.
"""


@attrs.frozen
class FaultContext:
    """The objects that faults act on."""

    site: SoakSite
    instances: Instances
    operator: Operator
    record: Record
    rng: random.Random


Injector = Callable[[FaultContext, PlannedFault], None]
FAULTS: dict[str, Injector] = {}
DEFAULT_FAULTS: list[str] = []


def fault(name: str, by_default: bool = True) -> Callable[[Injector], Injector]:
    """Register the decorated function as the fault `name`; it returns once the fault has ended.

    Args:
        name: Name of the fault.
        by_default: Whether it is drawn if no kinds are selected. Another number of kinds changes
            the plan of every seed.
    """

    def register(inject: Injector) -> Injector:
        FAULTS[name] = inject
        if by_default:
            DEFAULT_FAULTS.append(name)
        return inject

    return register


def inject(context: FaultContext, planned: PlannedFault) -> None:
    """Inject one planned fault and count it."""
    context.record.faults[planned.kind] = context.record.faults.get(planned.kind, 0) + 1
    FAULTS[planned.kind](context, planned)


def _pick(names: list[str], target: float) -> str | None:
    return names[min(int(target * len(names)), len(names) - 1)] if names else None


def _pick_instance(context: FaultContext, planned: PlannedFault) -> str | None:
    return _pick(context.instances.available, planned.target)


def _pick_server(context: FaultContext, planned: PlannedFault) -> str | None:
    return _pick(sorted(context.site.servers), planned.target)


@fault("kill")
def _kill(context: FaultContext, planned: PlannedFault) -> None:
    name = _pick_instance(context, planned)
    if name is not None:
        context.instances.kill(name, planned.for_s)


@fault("kill-many")
def _kill_many(context: FaultContext, planned: PlannedFault) -> None:
    names = context.instances.available
    tasks = [
        gevent.spawn(context.instances.kill, name, planned.for_s)
        for name in names[: 1 + int(planned.intensity * len(names))]
    ]
    gevent.joinall(tasks, raise_error=True)


@fault("planned-stop")
def _planned_stop(context: FaultContext, planned: PlannedFault) -> None:
    name = _pick_instance(context, planned)
    if name is not None:
        context.instances.stop_and_start(name)


@fault("holder-stop", by_default=False)
def _stop_holder(context: FaultContext, planned: PlannedFault) -> None:
    """Stop the holder of the duties; in two of three cases while its duty calls hang."""
    name = context.site.holder
    if name not in context.instances.available:
        return
    if planned.intensity < 1 / 3:
        context.instances.stop_and_start(name)
        return
    link = context.site.duties_link(name)
    with context.instances.disturbance("duties-link", name):
        link.silent = True
        gevent.sleep(HANG_BEFORE_STOP_S * context.rng.random())
        context.instances.stop_and_start(name)
        link.restore()


@fault("signals", by_default=False)
def _signal_repeatedly(context: FaultContext, planned: PlannedFault) -> None:
    """Send a series of SIGHUP, and further signals to the processes that are being stopped."""
    name = _pick_instance(context, planned)
    for _ in range(1 + int(planned.intensity * 10)):
        if name is not None:
            context.site.rewrite_settings(name, context.rng.random())
            context.instances.signal(name, signal.SIGHUP)
        context.instances.signal_stopping(context.rng.choice((signal.SIGHUP, signal.SIGTERM)))
        gevent.sleep(0.05 * context.rng.random())


@fault("limits", by_default=False)
def _change_limits(context: FaultContext, planned: PlannedFault) -> None:
    context.operator.change_limits(LIMITS[int(planned.intensity * len(LIMITS))])


@fault("pause")
def _pause(context: FaultContext, planned: PlannedFault) -> None:
    name = _pick_instance(context, planned)
    if name is not None:
        context.instances.pause(name, planned.for_s)


@fault("reload")
def _reload(context: FaultContext, planned: PlannedFault) -> None:
    name = _pick_instance(context, planned)
    if name is None:
        return
    if planned.intensity < 0.5:
        context.site.rewrite_settings(name, planned.intensity)
    context.instances.signal(name, signal.SIGHUP)


@fault("store-link")
def _store_link(context: FaultContext, planned: PlannedFault) -> None:
    name = _pick_instance(context, planned)
    if name is not None:
        _break_link(context, planned, context.site.store_link(name), name, "store-link")


@fault("duties-link")
def _duties_link(context: FaultContext, planned: PlannedFault) -> None:
    name = _pick_instance(context, planned)
    if name is not None:
        _break_link(context, planned, context.site.duties_link(name), name, "duties-link")


@fault("server-link")
def _server_link(context: FaultContext, planned: PlannedFault) -> None:
    id = _pick_server(context, planned)
    if id is not None:
        _break_link(context, planned, context.site.server_link(id), id, "server-link")


def _break_link(
    context: FaultContext, planned: PlannedFault, link: Link, subject: str, fault_name: str
) -> None:
    """Break a link in one of six ways and restore it; stalled connections stay so until closed."""
    with context.instances.disturbance(fault_name, subject):
        mode = int(planned.intensity * 6)
        if mode == 0:
            link.disconnect()
        elif mode == 1:
            link.silent = True
        elif mode == 2:
            link.responses_blocked = True
        elif mode == 3:
            link.delay_s = MAX_BLOCK_DELAY_S * context.rng.random()
        elif mode == 4:
            link.reset_open_connections()
        else:
            link.stall_open_connections()
        gevent.sleep(planned.for_s)
        link.restore()


@fault("store")
def _store(context: FaultContext, planned: PlannedFault) -> None:
    mode = STORE_FAULT_MODES[int(planned.intensity * len(STORE_FAULT_MODES))]
    with context.instances.disturbance("store", ALL_SUBJECTS):
        context.site.set_store_fault(mode)
        gevent.sleep(planned.for_s)
        context.site.set_store_fault("")


@fault("history")
def _discard_history(context: FaultContext, _planned: PlannedFault) -> None:
    with context.instances.disturbance("history", ALL_SUBJECTS):
        context.site.discard_history()


@fault("server-crash")
def _server_crash(context: FaultContext, planned: PlannedFault) -> None:
    id = _pick_server(context, planned)
    if id is None:
        return
    with context.instances.disturbance("server-crash", id):
        context.site.add_server(id)
        context.site.remove_server(id)
        gevent.sleep(planned.for_s)


@fault("server-drain")
def _server_drain(context: FaultContext, planned: PlannedFault) -> None:
    id = _pick_server(context, planned)
    if id is None:
        return
    with context.instances.disturbance("server-drain", id):
        context.site.add_server(id)
        context.site.drain_server(id)
        context.record.leaving[id] = context.instances.now()
        gevent.sleep(context.record.bounds.drain_s + planned.for_s)
        context.site.remove_server(id)


@fault("server-spoils")
def _spoil_responses(context: FaultContext, planned: PlannedFault) -> None:
    id = _pick_server(context, planned)
    if id is None:
        return
    mode = SERVER_FAULT_MODES[int(planned.intensity * len(SERVER_FAULT_MODES))]
    with context.instances.disturbance("server-spoils", id):
        context.site.set_server_fault(id, mode, 0.2 + 0.6 * context.rng.random())
        gevent.sleep(planned.for_s)
        context.site.set_server_fault(id, "", 0.0)


@fault("key-withdrawn")
def _key_withdrawn(context: FaultContext, planned: PlannedFault) -> None:
    context.operator.replace_key(planned.target)


@fault("route-comes-and-goes")
def _toggle_route(context: FaultContext, planned: PlannedFault) -> None:
    context.operator.remove_extra_route()
    gevent.sleep(planned.for_s)
    context.operator.add_extra_route()


@fault("configuration-storm")
def _configuration_storm(context: FaultContext, planned: PlannedFault) -> None:
    for _ in range(2 + int(planned.intensity * 20)):
        context.operator.publish()
        gevent.sleep(0.02)
