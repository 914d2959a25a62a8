"""Selects a model engine for a prompt. Performs no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from hickoryloom.placing.conditions import ServerConditions
from hickoryloom.placing.drawing import HomeOrders, ServerGroup
from hickoryloom.placing.engine_delay import engine_delay_s
from hickoryloom.placing.homes import MIN_SAVING_S, Homes
from hickoryloom.placing.locality import PATH_S, DomainChoice
from hickoryloom.placing.memory import EngineMemory
from hickoryloom.placing.messages import Placement, PlacementRequest
from hickoryloom.placing.named_limit import NamedLimits
from hickoryloom.placing.prefill import PrefillRate
from hickoryloom.placing.short_prompts import LONG_PROMPT_TOKENS, ShortPromptEngines
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["EngineChooser", "is_short"]

WRONG_GROUP_PENALTY_S = 0.3
"""Penalty for sending a long prompt to an engine reserved for short prompts, or a short prompt to
another engine while some are reserved. It equals the shortest pause of a stream that counts as
late."""

GROUPS_MAX_AGE_S = 1.0
"""Age up to which the groups of many engines are used. Dividing 3,000 engines takes some ms, and
the load of short prompts changes over seconds."""

OTHER_GROUP_DRAWN = 1
"""Engines reserved for prompts of the other length that are drawn on each side of the border."""

SEPARATOR = "\n"
"""Separates service and session in the key of a rate."""


@attrs.frozen
class _Groups:
    """The engines of a service with many, divided by the length of their prompts.

    Attributes:
        servers: All of them.
        reserved: Ids of those that are reserved for short prompts.
        short: Those for short prompts.
        long: Those for long prompts.
        at: Monotonic time of the division, in seconds.
    """

    servers: Sequence[TrackedServer]
    reserved: frozenset[str]
    short: ServerGroup
    long: ServerGroup
    at: float


class _Least:
    """The engine with the least expected delay of those that it is offered.

    Args:
        rng: Source of random numbers for breaking ties.
        is_uniform: Whether engines of equal delay are equally probable. Otherwise each one replaces
            the one before with a probability of a half, which favours the last ones.
    """

    def __init__(self, rng: random.Random, is_uniform: bool) -> None:
        self._rng = rng
        self._is_uniform = is_uniform
        self._equal = 1
        self.tracked: TrackedServer | None = None
        self.expected_s = float("inf")
        self.tokens = 0

    def offer(self, tracked: TrackedServer, expected_s: float, tokens: int) -> None:
        """Consider an engine."""
        if expected_s > self.expected_s:
            return
        if expected_s == self.expected_s:
            self._equal += 1
            if self._rng.random() >= (1 / self._equal if self._is_uniform else 0.5):
                return
        else:
            self._equal = 1
        self.tracked, self.expected_s, self.tokens = tracked, expected_s, tokens


class EngineChooser:
    """Selects engines of all services.

    Args:
        limits: Limits that backend servers name.
        conditions: What else limits or delays requests to some servers.
        rng: Source of random numbers for breaking ties.
        rate: Returns the prefill rate of a service.
        domains: Decides which requests leave the failure domain.
        spreads_prompts: Whether prompts are spread from the first one on.

    Attributes:
        memory: Room in the memory of engines.
        instances: Number of instances that send requests to the same engines.
    """

    def __init__(
        self,
        limits: NamedLimits,
        conditions: ServerConditions,
        rng: random.Random,
        rate: Callable[[str], PrefillRate],
        domains: DomainChoice,
        spreads_prompts: bool = False,
    ) -> None:
        self._limits = limits
        self._conditions = conditions
        self._rng = rng
        self._rate = rate
        self._domains = domains
        self._spreads_prompts = spreads_prompts
        self._short_prompts: dict[str, ShortPromptEngines] = {}
        self._homes: dict[str, Homes] = {}
        self._orders: dict[tuple[str, bool], HomeOrders] = {}
        self._groups: dict[str, _Groups] = {}
        self.memory = EngineMemory()
        self.instances = 1

    def set_instances(self, instances: int) -> None:
        """Set the number of instances that send requests to the same engines."""
        self.instances = instances
        for engines in self._short_prompts.values():
            engines.instances = instances

    def short_prompts(self, service: str) -> ShortPromptEngines:
        """Return the state of the engines reserved for short prompts of a service."""
        if service not in self._short_prompts:
            self._short_prompts[service] = ShortPromptEngines(self.instances)
        return self._short_prompts[service]

    def session_rates(self, now: float) -> dict[str, float]:
        """Return the rates of this instance's most frequent sessions, by service and session."""
        return {
            f"{service}{SEPARATOR}{session}": rate
            for service, homes in self._homes.items()
            if homes.spreads
            for session, rate in homes.rates(now).items()
        }

    def set_mean_session_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Set the mean of `session_rates` over several instances."""
        by_service: dict[str, dict[str, float]] = {}
        for key, rate in rates.items():
            service, _, session = key.partition(SEPARATOR)
            by_service.setdefault(service, {})[session] = rate
        for service, homes in self._homes.items():
            homes.set_mean_rates(by_service.get(service, {}), now)

    def known_short_prompts(self) -> dict[str, ShortPromptEngines]:
        """Return that state of each service that has any."""
        return self._short_prompts

    def homes(self, service: str) -> Homes:
        """Return the state of the home engines of a service."""
        if service not in self._homes:
            self._homes[service] = Homes(self._spreads_prompts)
        return self._homes[service]

    def draw(
        self,
        request: PlacementRequest,
        servers: Sequence[TrackedServer],
        failure_domain: str,
        factor: int,
        now: float,
    ) -> list[TrackedServer]:
        """Return the homes of a prompt and some engines drawn from many.

        Args:
            request: The request.
            servers: The engines of its service.
            failure_domain: Failure domain of the instance.
            factor: Factor on the usual number of drawn engines.
            now: Monotonic time in seconds.
        """
        groups = self._divide(request.service, servers, failure_domain, now)
        short = is_short(request)
        preferred, other = (groups.short, groups.long) if short else (groups.long, groups.short)
        drawn = preferred.draw(self._rng, factor)
        if other is not preferred:
            drawn += other.draw(self._rng, factor, OTHER_GROUP_DRAWN, OTHER_GROUP_DRAWN)
        tokens_per_s = self._rate(request.service).tokens_per_s
        number = self.homes(request.service).number(
            request, len(preferred.servers), self.instances, tokens_per_s, now
        )
        if number:
            orders = self._orders.setdefault((request.service, short), HomeOrders())
            orders.set_servers(preferred.servers)
            drawn += orders.homes(request.session, number, self._rng)
        return list({tracked.server.id: tracked for tracked in drawn}.values())

    def choose(
        self,
        request: PlacementRequest,
        candidates: list[TrackedServer],
        now: float,
        drawn: bool = False,
    ) -> Placement:
        """Return the engine with the least expected delay.

        Args:
            request: The request.
            candidates: The engines, at least one.
            now: Monotonic time in seconds.
            drawn: Whether the candidates are those that `draw` has returned, or some of them.
        """
        candidates = self.memory.with_room(candidates, request, now)
        # The share of a limited engine comes and goes, so it is neither reserved nor a home.
        unlimited = [
            tracked for tracked in candidates if not self._limits.is_limited(tracked.server, now)
        ]
        steady = unlimited or candidates
        if drawn:
            reserved = self._groups[request.service].reserved
        else:
            reserved = self._reserve(request.service, steady, now)
        preferred_group = [
            tracked for tracked in steady if (tracked.server.id in reserved) == is_short(request)
        ] or steady
        preferred = {tracked.server.id for tracked in preferred_group}
        wrong_group = {
            tracked.server.id
            for tracked in steady
            if reserved and tracked.server.id not in preferred
        }
        rate = self._rate(request.service)
        homes = self.homes(request.service)
        at_home = homes.select(
            request,
            preferred_group,
            self.instances,
            rate.tokens_per_s,
            now,
            self._orders.get((request.service, is_short(request))) if drawn else None,
        )
        ignores_parts = homes.ignores_parts(request, rate.tokens_per_s)
        is_limited = self._conditions.is_active
        weighs = self._domains.applies_to(request.service)
        inside = _Least(self._rng, homes.spreads)
        outside = _Least(self._rng, homes.spreads) if weighs else inside
        for tracked in candidates:
            if ignores_parts:
                tokens = request.prompt_tokens
            else:
                tokens = tracked.uncached_tokens(request, tracked.server.id in at_home)
            expected_s = engine_delay_s(tracked, tokens, rate, now)
            expected_s += WRONG_GROUP_PENALTY_S * (tracked.server.id in wrong_group)
            if is_limited:
                expected_s += self._conditions.delay_s(tracked.server, request, now)
            expected_s += homes.jitter_s(self._rng)
            if weighs and self._domains.is_outside(tracked.server.failure_domain):
                outside.offer(tracked, expected_s + PATH_S, tokens)
            else:
                inside.offer(tracked, expected_s, tokens)
        chosen, is_weighed = inside, False
        if weighs:
            chosen, is_weighed = self._choose_side(
                request, inside, outside, at_home, wrong_group, now
            )
        best = chosen.tracked or preferred_group[0]
        reason = "least-loaded"
        if request.session and not ignores_parts:
            reason = "affinity" if best.server.id in at_home else "spilled"
        weighed_at = now if is_weighed else None
        return Placement(best.server, reason, chosen.expected_s, chosen.tokens, weighed_at)

    def _choose_side(
        self,
        request: PlacementRequest,
        inside: _Least,
        outside: _Least,
        at_home: frozenset[str],
        wrong_group: set[str],
        now: float,
    ) -> tuple[_Least, bool]:
        """Return the best engine inside or that outside, and whether they were weighed.

        Processing shared parts again costs a hundred times the path, and a long prompt stalls the
        streams of an engine reserved for short ones. So a prompt goes to an engine outside that has
        its parts, or that is reserved for its length, if only that one has or is. Among several
        homes of a session, the domain doesn't matter either: if the ones inside came first, those
        of a domain with few of them got up to 2.4 times the mean number of requests.
        """
        if inside.tracked is not None and outside.tracked is not None:
            saved_tokens = inside.tokens - outside.tokens
            is_suited = inside.tracked.server.id not in wrong_group
            outside_is_suited = outside.tracked.server.id not in wrong_group
            if (
                outside.tracked.server.id in at_home
                or self._rate(request.service).seconds(saved_tokens) >= MIN_SAVING_S
                or is_suited != outside_is_suited
            ):
                return (outside if outside.expected_s < inside.expected_s else inside), False
        leaves = self._domains.leaves(
            request.service, inside.expected_s, outside.expected_s, request.target_s, now
        )
        return (outside if leaves else inside), True

    def _divide(
        self, service: str, servers: Sequence[TrackedServer], failure_domain: str, now: float
    ) -> _Groups:
        """Return the groups of the engines of a service with many."""
        known = self._groups.get(service)
        is_current = known is not None and known.servers is servers
        if known is not None and is_current and now - known.at < GROUPS_MAX_AGE_S:
            return known
        usable = [tracked for tracked in servers if not tracked.server.leaving]
        steady = [item for item in usable if not self._limits.is_limited(item.server, now)]
        reserved = self._reserve(service, steady or usable, now)
        if known is not None and is_current and known.reserved == reserved:
            groups = attrs.evolve(known, at=now)
        else:
            long = [item for item in usable if item.server.id not in reserved]
            long_group = ServerGroup.split(long, failure_domain)
            short_group = long_group
            if reserved:
                short = [item for item in usable if item.server.id in reserved]
                short_group = ServerGroup.split(short, failure_domain)
            groups = _Groups(servers, reserved, short_group, long_group, now)
        self._groups[service] = groups
        return groups

    def _reserve(self, service: str, engines: list[TrackedServer], now: float) -> frozenset[str]:
        """Return the ids of the engines that are reserved for short prompts."""
        short_prompts = self.short_prompts(service)
        short_prompts.spreads = self.homes(service).spreads
        short_prompts.is_divided = self._domains.applies_to(service)
        return short_prompts.select(
            [(tracked.server.id, tracked.server.slots) for tracked in engines],
            now,
            {tracked.server.id: tracked.speed.steady for tracked in engines},
            (
                {tracked.server.id: tracked.server.failure_domain for tracked in engines}
                if short_prompts.is_divided
                else None
            ),
        )


def is_short(request: PlacementRequest) -> bool:
    """Return whether a prompt is short enough for the engines reserved for short prompts."""
    return request.prompt_tokens <= LONG_PROMPT_TOKENS
