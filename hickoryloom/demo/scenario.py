"""What callers do in the demo: ask, book twice, look up, overload and misuse."""

from __future__ import annotations

import itertools
import uuid
from collections.abc import Callable, Iterator

import gevent

from hickoryloom.configuration import Customer, Pool, PoolKind, RequestClass, Route
from hickoryloom.demo.client import CallerAnswer, DemoCaller
from hickoryloom.demo.deployment import Deployment

__all__ = ["run_scenario"]

BURST_REQUESTS = 300
BURST_SPREAD_S = 1.5
BURST_TOKENS = 100
PROMPT = "Which days do you show the furnace to visitors? " * 40
SHOWN_CHARACTERS = 60

Print = Callable[[str], None]


def run_scenario(deployment: Deployment, say: Print) -> None:
    """Send the demo's requests and say what came back.

    Args:
        deployment: A running deployment.
        say: Prints one line.
    """
    _stream_one(deployment, say)
    for pool in deployment.documents.pools.values():
        if pool.kind is PoolKind.SERVICE:
            _call_services(deployment, pool, say)
    _show_refusal(deployment, say)
    _send_burst(deployment, say)


def _stream_one(deployment: Deployment, say: Print) -> None:
    customer, request_class, pool = next(_model_users(deployment))
    caller = _caller(deployment, customer)
    answer = _ask(caller, pool, request_class, 24)
    say(
        f"  streamed answer for {customer.name} ({request_class.name}): "
        f"{answer.text[:SHOWN_CHARACTERS]!r}..., whole: {answer.whole}"
    )
    caller.close()


def _call_services(deployment: Deployment, pool: Pool, say: Print) -> None:
    for service in deployment.documents.services.values():
        if service.pool != pool.name:
            continue
        lookup = _first_route(service.routes, idempotent=True)
        booking = _first_route(service.routes, idempotent=False)
        caller = _service_caller(deployment, service.name)
        in_class = {"X-Request-Class": _service_class(deployment, service.name)}
        if lookup is not None:
            found = caller.call(lookup.method, _path(service.name, lookup), headers=in_class)
            say(f"  {lookup.method} {_path(service.name, lookup)}: {found.status}")
        if booking is not None:
            _book_twice(caller, service.name, booking, in_class, say)
        caller.close()


def _book_twice(
    caller: DemoCaller, service: str, route: Route, in_class: dict[str, str], say: Print
) -> None:
    path = _path(service, route)
    key = {"Idempotency-Key": uuid.uuid4().hex, **in_class}
    first = caller.call(route.method, path, {"bench": 3}, key)
    second = caller.call(route.method, path, {"bench": 3}, key)
    replayed = second.headers.get("idempotency-replayed", "false")
    say(
        f"  {route.method} {path} twice with one Idempotency-Key: "
        f"{first.status}, then {second.status} with replayed={replayed}"
    )


def _show_refusal(deployment: Deployment, say: Print) -> None:
    _, request_class, pool = next(_model_users(deployment))
    caller = DemoCaller(deployment.entries[0].addresses["listen"], "not-a-key")
    answer = _ask(caller, pool, request_class, 8)
    error = answer.body["error"]
    say(f"  without a valid key: {answer.status} {error['code']}, verdict {error['verdict']}")
    caller.close()


def _send_burst(deployment: Deployment, say: Print) -> None:
    users = list(_model_users(deployment))
    callers = [_caller(deployment, customer) for customer, _, _ in users]
    answers: list[CallerAnswer] = []

    def send(number: int) -> None:
        _, request_class, pool = users[number % len(users)]
        gevent.sleep(BURST_SPREAD_S * number / BURST_REQUESTS)
        answers.append(_ask(callers[number % len(users)], pool, request_class, BURST_TOKENS))

    gevent.joinall([gevent.spawn(send, number) for number in range(BURST_REQUESTS)])
    whole = sum(1 for answer in answers if answer.status == 200 and answer.whole)
    refused = [answer for answer in answers if answer.status != 200]
    cut = len(answers) - whole - len(refused)
    say(
        f"  burst of {BURST_REQUESTS} requests: {whole} whole answers, {len(refused)} refused, "
        f"{cut} ended early with an error"
    )
    if refused:
        error = refused[0].body["error"]
        say(
            f"  a refusal: {refused[0].status} {error['code']}, verdict {error['verdict']}, "
            f"Retry-After {refused[0].headers.get('retry-after')} s"
        )
    for caller in callers:
        caller.close()


def _ask(caller: DemoCaller, pool: Pool, request_class: RequestClass, tokens: int) -> CallerAnswer:
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


def _model_users(deployment: Deployment) -> Iterator[tuple[Customer, RequestClass, Pool]]:
    """Yield who may ask which model in which class, highest tiers first."""
    documents = deployment.documents
    models = [pool for pool in documents.pools.values() if pool.kind is PoolKind.ENGINE]
    customers = documents.customers.values()
    found = [
        (customer, documents.classes[name], pool)
        for pool, customer in itertools.product(models, customers)
        for name in customer.classes
        if _may_ask(deployment, customer, pool) and documents.classes[name].resumable
    ]
    yield from sorted(found, key=lambda user: user[1].tier)


def _may_ask(deployment: Deployment, customer: Customer, pool: Pool) -> bool:
    services = deployment.documents.services
    return not customer.services or any(
        name == pool.model or (name in services and services[name].pool == pool.name)
        for name in customer.services
    )


def _caller(deployment: Deployment, customer: Customer) -> DemoCaller:
    names = sorted(deployment.documents.customers)
    entry = deployment.entries[names.index(customer.name) % len(deployment.entries)]
    return DemoCaller(entry.addresses["listen"], deployment.key_of(customer.name))


def _service_caller(deployment: Deployment, service: str) -> DemoCaller:
    return _caller(deployment, _service_user(deployment, service))


def _service_user(deployment: Deployment, service: str) -> Customer:
    customers = deployment.documents.customers.values()
    return next(one for one in customers if not one.services or service in one.services)


def _service_class(deployment: Deployment, service: str) -> str:
    """Return the user's class of the highest tier, which is the one for plain services."""
    classes = deployment.documents.classes
    names = _service_user(deployment, service).classes
    return min(names, key=lambda name: classes[name].tier)


def _first_route(routes: tuple[Route, ...], idempotent: bool) -> Route | None:
    return next((route for route in routes if route.idempotent is idempotent), None)


def _path(service: str, route: Route) -> str:
    return f"/services/{service}{route.path.removesuffix('*')}"
