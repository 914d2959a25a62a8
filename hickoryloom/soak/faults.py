"""The faults that a soak injects, by name."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable

import attrs
import gevent

from hickoryloom.soak.instances import Instances
from hickoryloom.soak.link import Link
from hickoryloom.soak.messages import EVERYTHING
from hickoryloom.soak.operator import Operator
from hickoryloom.soak.plan import PlannedFault
from hickoryloom.soak.ports import SoakSite
from hickoryloom.soak.record import Record

__all__ = ["FAULTS", "FaultContext", "inject"]

DELAY_S = 0.3
"""Largest delay of a block on a slow link: fifty times what a store's answer takes."""

MISBEHAVIOURS = ("reject", "lose-answer", "cut", "spoil", "foreign", "fail")
STORE_FAULTS = ("busy", "silent", "reset", "lose-writes")
FEWEST_SERVERS = 2
"""Backend servers of a service that are left alone, so that there is something to serve with."""


@attrs.frozen
class FaultContext:
    """What faults act on."""

    site: SoakSite
    instances: Instances
    operator: Operator
    record: Record
    rng: random.Random


Injector = Callable[[FaultContext, PlannedFault], None]
FAULTS: dict[str, Injector] = {}


def fault(name: str) -> Callable[[Injector], Injector]:
    """Register the decorated function as the fault `name`; it returns when the fault has ended."""

    def register(inject: Injector) -> Injector:
        FAULTS[name] = inject
        return inject

    return register


def inject(context: FaultContext, planned: PlannedFault) -> None:
    """Carry out one fault and note it."""
    context.record.faults[planned.kind] = context.record.faults.get(planned.kind, 0) + 1
    FAULTS[planned.kind](context, planned)


def _pick(names: list[str], target: float) -> str | None:
    return names[min(int(target * len(names)), len(names) - 1)] if names else None


def _instance(context: FaultContext, planned: PlannedFault) -> str | None:
    return _pick(context.instances.running, planned.target)


def _server(context: FaultContext, planned: PlannedFault) -> str | None:
    return _pick(sorted(context.site.servers), planned.target)


@fault("kill")
def _kill(context: FaultContext, planned: PlannedFault) -> None:
    name = _instance(context, planned)
    if name is not None:
        context.instances.kill(name, planned.for_s)


@fault("kill-many")
def _kill_many(context: FaultContext, planned: PlannedFault) -> None:
    names = context.instances.running
    tasks = [
        gevent.spawn(context.instances.kill, name, planned.for_s)
        for name in names[: 1 + int(planned.size * len(names))]
    ]
    gevent.joinall(tasks, raise_error=True)


@fault("planned-stop")
def _planned_stop(context: FaultContext, planned: PlannedFault) -> None:
    name = _instance(context, planned)
    if name is not None:
        context.instances.stop_and_start(name)


@fault("pause")
def _pause(context: FaultContext, planned: PlannedFault) -> None:
    name = _instance(context, planned)
    if name is not None:
        context.instances.pause(name, planned.for_s)


@fault("reload")
def _reload(context: FaultContext, planned: PlannedFault) -> None:
    name = _instance(context, planned)
    if name is None:
        return
    if planned.size < 0.5:
        context.site.rewrite_settings(name, planned.size)
    context.instances.signal(name, signal.SIGHUP)


@fault("store-link")
def _store_link(context: FaultContext, planned: PlannedFault) -> None:
    name = _instance(context, planned)
    if name is not None:
        _break_link(context, planned, context.site.store_link(name), name, "store-link")


@fault("duties-link")
def _duties_link(context: FaultContext, planned: PlannedFault) -> None:
    name = _instance(context, planned)
    if name is not None:
        _break_link(context, planned, context.site.duties_link(name), name, "duties-link")


@fault("server-link")
def _server_link(context: FaultContext, planned: PlannedFault) -> None:
    id = _server(context, planned)
    if id is not None:
        _break_link(context, planned, context.site.server_link(id), id, "server-link")


def _break_link(
    context: FaultContext, planned: PlannedFault, link: Link, subject: str, what: str
) -> None:
    """Break a link in one of six ways; silence of open connections lasts until they are closed."""
    with context.instances.disturbed(what, subject):
        how = int(planned.size * 6)
        if how == 0:
            link.cut()
        elif how == 1:
            link.silent = True
        elif how == 2:
            link.answers_lost = True
        elif how == 3:
            link.delay_s = DELAY_S * context.rng.random()
        elif how == 4:
            link.reset_open_connections()
        else:
            link.mute_open_connections()
        gevent.sleep(planned.for_s)
        link.restore()


@fault("store")
def _store(context: FaultContext, planned: PlannedFault) -> None:
    how = STORE_FAULTS[int(planned.size * len(STORE_FAULTS))]
    with context.instances.disturbed("store", EVERYTHING):
        context.site.set_store_fault(how)
        gevent.sleep(planned.for_s)
        context.site.set_store_fault("")


@fault("history")
def _history(context: FaultContext, _planned: PlannedFault) -> None:
    with context.instances.disturbed("history", EVERYTHING):
        context.site.forget_history()


@fault("server-crash")
def _server_crash(context: FaultContext, planned: PlannedFault) -> None:
    id = _server(context, planned)
    if id is None:
        return
    with context.instances.disturbed("server-crash", id):
        context.site.add_server(id)
        context.site.remove_server(id)
        gevent.sleep(planned.for_s)


@fault("server-drain")
def _server_drain(context: FaultContext, planned: PlannedFault) -> None:
    id = _server(context, planned)
    if id is None:
        return
    with context.instances.disturbed("server-drain", id):
        context.site.add_server(id)
        context.site.drain_server(id)
        context.record.leaving[id] = context.instances.now()
        gevent.sleep(context.record.bounds.drain_s + planned.for_s)
        context.site.remove_server(id)


@fault("server-spoils")
def _server_spoils(context: FaultContext, planned: PlannedFault) -> None:
    id = _server(context, planned)
    if id is None:
        return
    how = MISBEHAVIOURS[int(planned.size * len(MISBEHAVIOURS))]
    with context.instances.disturbed("server-spoils", id):
        context.site.misbehave(id, how, 0.2 + 0.6 * context.rng.random())
        gevent.sleep(planned.for_s)
        context.site.misbehave(id, "", 0.0)


@fault("key-withdrawn")
def _key_withdrawn(context: FaultContext, planned: PlannedFault) -> None:
    context.operator.replace_key(planned.target)


@fault("route-comes-and-goes")
def _route(context: FaultContext, planned: PlannedFault) -> None:
    context.operator.remove_extra_route()
    gevent.sleep(planned.for_s)
    context.operator.add_extra_route()


@fault("configuration-storm")
def _storm(context: FaultContext, planned: PlannedFault) -> None:
    for _ in range(2 + int(planned.size * 20)):
        context.operator.publish()
        gevent.sleep(0.02)
