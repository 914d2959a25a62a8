"""Requests of the demo: a stream, service calls, a repeated call, an invalid key and a burst."""

from __future__ import annotations

import itertools
import uuid
from collections.abc import Callable, Iterator

import gevent

from hickoryloom.configuration import Customer, Pool, PoolKind, RequestClass, Route
from hickoryloom.demo.client import CallerResponse, DemoCaller
from hickoryloom.demo.deployment import Deployment

__all__ = ["run_scenario"]

BURST_REQUESTS = 300
BURST_SPREAD_S = 1.5
BURST_TOKENS = 100
PROMPT = "Which days do you show the furnace to visitors? " * 40
SHOWN_CHARACTERS = 60

PrintLine = Callable[[str], None]


def run_scenario(deployment: Deployment, print_line: PrintLine) -> None:
    """Send the requests of the demo and print the results.

    Args:
        deployment: A running deployment.
        print_line: Prints one line.
    """
    _stream_one(deployment, print_line)
    for pool in deployment.documents.pools.values():
        if pool.kind is PoolKind.SERVICE:
            _call_services(deployment, pool, print_line)
    _show_refusal(deployment, print_line)
    _send_burst(deployment, print_line)


def _stream_one(deployment: Deployment, print_line: PrintLine) -> None:
    customer, request_class, pool = next(_iter_model_access(deployment))
    caller = _build_caller(deployment, customer)
    response = _send_completion(caller, pool, request_class, 24)
    print_line(
        f"  streamed answer for {customer.name} ({request_class.name}): "
        f"{response.text[:SHOWN_CHARACTERS]!r}..., whole: {response.complete}"
    )
    caller.close()


def _call_services(deployment: Deployment, pool: Pool, print_line: PrintLine) -> None:
    for service in deployment.documents.services.values():
        if service.pool != pool.name:
            continue
        read_route = _first_route(service.routes, idempotent=True)
        write_route = _first_route(service.routes, idempotent=False)
        caller = _build_service_caller(deployment, service.name)
        class_header = {"X-Request-Class": _service_class(deployment, service.name)}
        if read_route is not None:
            response = caller.call(
                read_route.method, _path(service.name, read_route), headers=class_header
            )
            print_line(
                f"  {read_route.method} {_path(service.name, read_route)}: {response.status}"
            )
        if write_route is not None:
            _send_twice(caller, service.name, write_route, class_header, print_line)
        caller.close()


def _send_twice(
    caller: DemoCaller,
    service: str,
    route: Route,
    class_header: dict[str, str],
    print_line: PrintLine,
) -> None:
    path = _path(service, route)
    headers = {"Idempotency-Key": uuid.uuid4().hex, **class_header}
    first = caller.call(route.method, path, {"bench": 3}, headers)
    second = caller.call(route.method, path, {"bench": 3}, headers)
    replayed = second.headers.get("idempotency-replayed", "false")
    print_line(
        f"  {route.method} {path} twice with one Idempotency-Key: "
        f"{first.status}, then {second.status} with replayed={replayed}"
    )


def _show_refusal(deployment: Deployment, print_line: PrintLine) -> None:
    _, request_class, pool = next(_iter_model_access(deployment))
    caller = DemoCaller(deployment.entries[0].addresses["listen"], "not-a-key")
    response = _send_completion(caller, pool, request_class, 8)
    error = response.body["error"]
    print_line(
        f"  without a valid key: {response.status} {error['code']}, verdict {error['verdict']}"
    )
    caller.close()


def _send_burst(deployment: Deployment, print_line: PrintLine) -> None:
    model_access = list(_iter_model_access(deployment))
    callers = [_build_caller(deployment, customer) for customer, _, _ in model_access]
    responses: list[CallerResponse] = []

    def send(number: int) -> None:
        _, request_class, pool = model_access[number % len(model_access)]
        gevent.sleep(BURST_SPREAD_S * number / BURST_REQUESTS)
        responses.append(
            _send_completion(callers[number % len(model_access)], pool, request_class, BURST_TOKENS)
        )

    gevent.joinall([gevent.spawn(send, number) for number in range(BURST_REQUESTS)])
    complete = sum(1 for response in responses if response.status == 200 and response.complete)
    refused = [response for response in responses if response.status != 200]
    interrupted = len(responses) - complete - len(refused)
    print_line(
        f"  burst of {BURST_REQUESTS} requests: {complete} whole answers, "
        f"{len(refused)} refused, {interrupted} ended early with an error"
    )
    if refused:
        error = refused[0].body["error"]
        print_line(
            f"  a refusal: {refused[0].status} {error['code']}, verdict {error['verdict']}, "
            f"Retry-After {refused[0].headers.get('retry-after')} s"
        )
    for caller in callers:
        caller.close()


def _send_completion(
    caller: DemoCaller, pool: Pool, request_class: RequestClass, tokens: int
) -> CallerResponse:
    body = {
        "model": pool.model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": PROMPT}],
        "user": uuid.uuid4().hex,
    }
    return caller.call(
        "POST", "/v1/chat/completions", body, {"X-Request-Class": request_class.name}
    )


def _iter_model_access(deployment: Deployment) -> Iterator[tuple[Customer, RequestClass, Pool]]:
    """Yield customers with resumable classes and engine pools they may use, highest tier first."""
    documents = deployment.documents
    models = [pool for pool in documents.pools.values() if pool.kind is PoolKind.ENGINE]
    customers = documents.customers.values()
    combinations = [
        (customer, documents.classes[name], pool)
        for pool, customer in itertools.product(models, customers)
        for name in customer.classes
        if _may_use_pool(deployment, customer, pool) and documents.classes[name].resumable
    ]
    yield from sorted(combinations, key=lambda combination: combination[1].tier)


def _may_use_pool(deployment: Deployment, customer: Customer, pool: Pool) -> bool:
    services = deployment.documents.services
    return not customer.services or any(
        name == pool.model or (name in services and services[name].pool == pool.name)
        for name in customer.services
    )


def _build_caller(deployment: Deployment, customer: Customer) -> DemoCaller:
    names = sorted(deployment.documents.customers)
    entry = deployment.entries[names.index(customer.name) % len(deployment.entries)]
    return DemoCaller(entry.addresses["listen"], deployment.get_key(customer.name))


def _build_service_caller(deployment: Deployment, service: str) -> DemoCaller:
    return _build_caller(deployment, _service_customer(deployment, service))


def _service_customer(deployment: Deployment, service: str) -> Customer:
    customers = deployment.documents.customers.values()
    return next(
        customer for customer in customers if not customer.services or service in customer.services
    )


def _service_class(deployment: Deployment, service: str) -> str:
    """Return the highest-tier class of the service's customer; it is the one for plain services."""
    classes = deployment.documents.classes
    names = _service_customer(deployment, service).classes
    return min(names, key=lambda name: classes[name].tier)


def _first_route(routes: tuple[Route, ...], idempotent: bool) -> Route | None:
    return next((route for route in routes if route.idempotent is idempotent), None)


def _path(service: str, route: Route) -> str:
    return f"/services/{service}{route.path.removesuffix('*')}"
