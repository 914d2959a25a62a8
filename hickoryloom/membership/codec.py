"""JSON form of heartbeats: omits fields with default values and packs pools into arrays."""

from __future__ import annotations

from typing import Any

import attrs
from cattrs.gen import make_dict_unstructure_fn
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from hickoryloom.membership.messages import Heartbeat, PoolSummary

__all__ = ["HeartbeatMessage", "decode_message", "encode_message"]


@attrs.frozen
class HeartbeatMessage:
    """Message that one entry process sends to another in an exchange.

    Attributes:
        heartbeat: Heartbeat of the sender.
        known: Addresses of other live entry processes, by incarnation; empty in most messages.
    """

    heartbeat: Heartbeat
    known: dict[str, str] = attrs.field(factory=dict)


_converter = make_converter(omit_if_default=True)


def _pack_summary(summary: PoolSummary) -> list[Any]:
    tiers = sorted(summary.backlog.keys() | summary.demand.keys())
    rows = [[tier, summary.backlog.get(tier, 0), summary.demand.get(tier, 0)] for tier in tiers]
    counters = [summary.in_flight, summary.highest_waiting, summary.pressure, summary.epoch]
    return [*counters, rows]


def _unpack_summary(packed: Any, _kind: Any) -> PoolSummary:
    in_flight, highest_waiting, pressure, epoch, rows = packed
    return PoolSummary(
        in_flight=int(in_flight),
        backlog={int(tier): int(backlog) for tier, backlog, _ in rows if backlog},
        highest_waiting=int(highest_waiting),
        pressure=int(pressure),
        epoch=int(epoch),
        demand={int(tier): int(demand) for tier, _, demand in rows if demand},
    )


_converter.register_unstructure_hook(PoolSummary, _pack_summary)
_converter.register_structure_hook(PoolSummary, _unpack_summary)


for _kind in (Heartbeat, HeartbeatMessage):
    _converter.register_unstructure_hook(
        _kind, make_dict_unstructure_fn(_kind, _converter, _cattrs_omit_if_default=True)
    )


def encode_message(message: HeartbeatMessage) -> dict[str, Any]:
    """Return `message` as a JSON object."""
    return _converter.unstructure(message)


def decode_message(body: Any) -> Result[HeartbeatMessage, str]:
    """Return the message in a JSON object, or a description of the error."""
    try:
        return Ok(_converter.structure(body, HeartbeatMessage))
    except Exception as error:
        return Err(f"{type(error).__name__}: not a heartbeat")
