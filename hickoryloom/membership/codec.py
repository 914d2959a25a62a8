"""Heartbeats as JSON, with fields at their defaults left out and pools as short arrays."""

from __future__ import annotations

from typing import Any

import attrs
from cattrs.gen import make_dict_unstructure_fn
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from hickoryloom.membership.messages import Heartbeat, PoolSummary

__all__ = ["Word", "decode_word", "encode_word"]


@attrs.frozen
class Word:
    """What one entry sends another in one exchange.

    Attributes:
        heartbeat: Its heartbeat.
        known: Addresses of other live entries, by incarnation; empty most of the time.
    """

    heartbeat: Heartbeat
    known: dict[str, str] = attrs.field(factory=dict)


_converter = make_converter(omit_if_default=True)


def _pack_summary(summary: PoolSummary) -> list[Any]:
    tiers = sorted(summary.backlog.keys() | summary.demand.keys())
    rows = [[tier, summary.backlog.get(tier, 0), summary.demand.get(tier, 0)] for tier in tiers]
    head = [summary.in_flight, summary.highest_waiting, summary.pressure, summary.epoch]
    return [*head, rows]


def _unpack_summary(packed: Any, _kind: Any) -> PoolSummary:
    in_flight, highest, pressure, epoch, rows = packed
    return PoolSummary(
        in_flight=int(in_flight),
        backlog={int(tier): int(backlog) for tier, backlog, _ in rows if backlog},
        highest_waiting=int(highest),
        pressure=int(pressure),
        epoch=int(epoch),
        demand={int(tier): int(demand) for tier, _, demand in rows if demand},
    )


_converter.register_unstructure_hook(PoolSummary, _pack_summary)
_converter.register_structure_hook(PoolSummary, _unpack_summary)


for _kind in (Heartbeat, Word):
    _converter.register_unstructure_hook(
        _kind, make_dict_unstructure_fn(_kind, _converter, _cattrs_omit_if_default=True)
    )


def encode_word(word: Word) -> dict[str, Any]:
    """Return `word` as a JSON object."""
    return _converter.unstructure(word)


def decode_word(body: Any) -> Result[Word, str]:
    """Return the word in a JSON object, or what is wrong with it."""
    try:
        return Ok(_converter.structure(body, Word))
    except Exception as error:
        return Err(f"{type(error).__name__}: not a heartbeat")
