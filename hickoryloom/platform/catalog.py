"""Decodes the configuration stored by the operators into a catalog."""

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
from hickoryloom.platform.fields import (
    FieldError,
    get_bool,
    get_dict,
    get_float,
    get_int,
    get_list,
    get_str,
)

__all__ = ["PlatformCatalog"]

MS_PER_S = 1000.0
DEFAULT_WARM_UP_S = 3.0
KINDS = {
    "streaming": RequestKind.STREAM,
    "idempotent": RequestKind.REPEATABLE,
    "non_idempotent": RequestKind.ONCE,
}


class PlatformCatalog:
    """The current configuration is stored in a single object."""

    @property
    def key(self) -> str:
        """Key of the configuration object."""
        return "config/main"

    def read(self, value: Any) -> Result[Catalog, str]:
        """Decode a configuration, or return what is wrong with it."""
        try:
            return Ok(_read_catalog(value))
        except FieldError as error:
            return Err(str(error))


def _read_catalog(value: Any) -> Catalog:
    services = [_read_service(record) for record in get_list(value, "services")]
    tenants = value.get("tenants")
    return Catalog(
        version=get_int(value, "version"),
        routes=tuple(_read_route(record) for record in get_list(value, "routes")),
        services={service.name: service for service in services},
        customers=_read_customers(get_list(value, "tenants")),
        customers_without_keys=_without_keys(get_list(value, "tenants")),
        customers_with_one_key=_with_one_key(get_list(value, "tenants")),
        limits=_read_limits(get_dict(value, "limits")),
        requires_keys=tenants is not None,
    )


def _read_route(record: Any) -> Route:
    kind = get_str(record, "type")
    if kind not in KINDS:
        raise FieldError(f"route {get_str(record, 'name')!r} has unknown type {kind!r}")
    return Route(
        name=get_str(record, "name"),
        host=get_str(record, "host").lower(),
        path_prefix=get_str(record, "path_prefix"),
        kind=KINDS[kind],
        timeout_s=get_float(record, "timeout_ms") / MS_PER_S,
        target_s=get_float(record, "target_latency_ms", 1000.0) / MS_PER_S,
        max_gap_s=get_float(record, "itl_target_ms", 0.0) / MS_PER_S,
        priority=get_int(record, "priority", 5),
        targets=_read_targets(record),
        max_attempts=get_int(record, "max_attempts", 1),
        open_to_all=get_bool(record, "public", False),
        resumable=get_bool(record, "stream_resume", False),
    )


def _read_targets(record: Any) -> tuple[Target, ...]:
    split = get_list(record, "traffic_split")
    if not split:
        return (Target(get_str(record, "service")),)
    targets = tuple(
        Target(get_str(share, "service"), get_float(share, "weight")) for share in split
    )
    weighted = tuple(target for target in targets if target.weight > 0)
    if not weighted:
        raise FieldError(f"route {get_str(record, 'name')!r} has no service with a positive weight")
    return weighted


def _read_service(record: Any) -> Service:
    engine = get_dict(record, "inference_engine")
    scaling = get_dict(record, "autoscaling")
    return Service(
        name=get_str(record, "name"),
        max_connections=get_int(record, "max_connections", 0),
        engine=_read_engine(engine) if engine else None,
        scaling=_read_scaling(scaling) if scaling else None,
        warm_up_s=get_float(record, "warmup_s", DEFAULT_WARM_UP_S),
        warm_up_per_s=get_float(record, "warmup_per_s", 0.0),
        health_path=get_str(record, "health_path", ""),
    )


def _read_engine(record: Any) -> EngineLimits:
    return EngineLimits(
        slots=get_int(record, "capacity", 1),
        memory_tokens=get_int(record, "kv_capacity", 0),
    )


def _read_scaling(record: Any) -> ScalingBounds:
    price = record.get("spot_price")
    prices = get_dict(record, "zone_prices")
    return ScalingBounds(
        min_servers=get_int(record, "min_replicas"),
        max_servers=get_int(record, "max_replicas"),
        boot_s=get_float(record, "boot_time_s", 0.0),
        reclaimable_price=None if price is None else get_float(record, "spot_price"),
        prices={zone: get_float(prices, zone) for zone in prices},
    )


def _read_customers(tenants: list[Any]) -> dict[str, Customer]:
    customers = {}
    for record in tenants:
        priority = record.get("priority") if isinstance(record, dict) else None
        rank = priority if type(priority) is int else None
        customer = Customer(get_str(record, "name"), rank)
        for key in get_list(record, "api_keys"):
            customers[hash_key(str(key))] = customer
    return customers


def _without_keys(tenants: list[Any]) -> tuple[str, ...]:
    return tuple(get_str(record, "name") for record in tenants if not record.get("api_keys"))


def _with_one_key(tenants: list[Any]) -> tuple[tuple[str, ...], ...]:
    names: dict[str, list[str]] = {}
    for record in tenants:
        for key in dict.fromkeys(map(str, get_list(record, "api_keys"))):
            names.setdefault(key, []).append(get_str(record, "name"))
    return tuple(tuple(found) for found in names.values() if len(found) > 1)


def _read_limits(record: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=get_int(record, "max_header_bytes", default.header_bytes),
        body_bytes=get_int(record, "max_body_bytes", default.body_bytes),
        header_timeout_s=get_float(record, "header_timeout_ms", default.header_timeout_s * MS_PER_S)
        / MS_PER_S,
        idle_timeout_s=get_float(record, "idle_timeout_ms", default.idle_timeout_s * MS_PER_S)
        / MS_PER_S,
    )
