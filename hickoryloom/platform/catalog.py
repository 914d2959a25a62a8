"""Decodes the operators' configuration into a catalog."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from hickoryloom.catalog import (
    CallerLimits,
    Catalog,
    Customer,
    EngineLimits,
    RequestKind,
    Route,
    ScalingBounds,
    Service,
    Target,
    hash_key,
)
from hickoryloom.platform.fields import FieldError, flag, integer, number, records, table, text

__all__ = ["PlatformCatalog"]

MS_PER_S = 1000.0
KINDS = {
    "streaming": RequestKind.STREAM,
    "idempotent": RequestKind.REPEATABLE,
    "non_idempotent": RequestKind.ONCE,
}


class PlatformCatalog:
    """The newest configuration stands in one object."""

    @property
    def key(self) -> str:
        """Key of the object."""
        return "config/main"

    def read(self, value: Any) -> Result[Catalog, str]:
        """Decode a configuration, or say what is wrong with it."""
        try:
            return Ok(_read_catalog(value))
        except FieldError as error:
            return Err(str(error))


def _read_catalog(value: Any) -> Catalog:
    services = [_read_service(found) for found in records(value, "services")]
    tenants = value.get("tenants")
    return Catalog(
        version=integer(value, "version"),
        routes=tuple(_read_route(found) for found in records(value, "routes")),
        services={service.name: service for service in services},
        customers=_read_customers(records(value, "tenants")),
        limits=_read_limits(table(value, "limits")),
        keyed=tenants is not None,
    )


def _read_route(found: Any) -> Route:
    kind = text(found, "type")
    if kind not in KINDS:
        raise FieldError(f"route {text(found, 'name')!r} has the unknown type {kind!r}")
    return Route(
        name=text(found, "name"),
        host=text(found, "host").lower(),
        path_prefix=text(found, "path_prefix"),
        kind=KINDS[kind],
        timeout_s=number(found, "timeout_ms") / MS_PER_S,
        target_s=number(found, "target_latency_ms", 1000.0) / MS_PER_S,
        max_gap_s=number(found, "itl_target_ms", 0.0) / MS_PER_S,
        priority=integer(found, "priority", 5),
        targets=_read_targets(found),
        max_attempts=integer(found, "max_attempts", 1),
        open_to_all=flag(found, "public", False),
        resumable=flag(found, "stream_resume", False),
    )


def _read_targets(found: Any) -> tuple[Target, ...]:
    split = records(found, "traffic_split")
    if not split:
        return (Target(text(found, "service")),)
    targets = tuple(Target(text(one, "service"), number(one, "weight")) for one in split)
    weighted = tuple(target for target in targets if target.weight > 0)
    if not weighted:
        raise FieldError(f"route {text(found, 'name')!r} has no service with a weight")
    return weighted


def _read_service(found: Any) -> Service:
    engine = found.get("inference_engine") if isinstance(found, dict) else None
    scaling = found.get("autoscaling") if isinstance(found, dict) else None
    return Service(
        name=text(found, "name"),
        max_connections=integer(found, "max_connections", 0),
        engine=_read_engine(engine) if engine else None,
        scaling=_read_scaling(scaling) if scaling else None,
    )


def _read_engine(found: Any) -> EngineLimits:
    return EngineLimits(
        slots=integer(found, "capacity", 1),
        memory_tokens=integer(found, "kv_capacity", 0),
    )


def _read_scaling(found: Any) -> ScalingBounds:
    price = found.get("spot_price")
    prices = table(found, "zone_prices")
    return ScalingBounds(
        min_servers=integer(found, "min_replicas"),
        max_servers=integer(found, "max_replicas"),
        boot_s=number(found, "boot_time_s", 0.0),
        reclaimable_price=None if price is None else number(found, "spot_price"),
        prices={zone: number(prices, zone) for zone in prices},
    )


def _read_customers(tenants: list[Any]) -> dict[str, Customer]:
    customers = {}
    for found in tenants:
        priority = found.get("priority") if isinstance(found, dict) else None
        rank = priority if type(priority) is int else None
        customer = Customer(text(found, "name"), rank)
        for key in records(found, "api_keys"):
            customers[hash_key(str(key))] = customer
    return customers


def _read_limits(found: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=integer(found, "max_header_bytes", default.header_bytes),
        body_bytes=integer(found, "max_body_bytes", default.body_bytes),
        header_timeout_s=number(found, "header_timeout_ms", default.header_timeout_s * MS_PER_S)
        / MS_PER_S,
        idle_timeout_s=number(found, "idle_timeout_ms", default.idle_timeout_s * MS_PER_S)
        / MS_PER_S,
    )
