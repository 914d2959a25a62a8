"""Message types of placement: requests to place, reported load and the selected backend server."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.discovery import BackendServer

__all__ = ["PlacementOutcome", "Placement", "PromptSegment", "ReportedLoad", "PlacementRequest"]


@attrs.frozen
class PromptSegment:
    """A segment of a prompt prefix that may be shared with other prompts.

    Attributes:
        id: Identifies the content: segments with the same id have the same tokens.
        tokens: Length in tokens.
    """

    id: str
    tokens: int


@attrs.frozen
class PlacementRequest:
    """The properties of a request that decide its placement.

    Attributes:
        service: Name of the service.
        prompt_tokens: Length of the prompt; 0 for a request that is not for a model engine.
        shared: Segments of the prompt prefix that other prompts may share, in order.
        software: The only software version whose servers may be selected; empty for any.
        urgency: Priority of the request at its service; 0 is the most urgent.
        output_tokens: Largest number of tokens that the response may have.
        target_s: Latency target in seconds; 0 for none.
    """

    service: str
    prompt_tokens: int = 0
    shared: tuple[PromptSegment, ...] = ()
    software: str = ""
    urgency: int = 0
    output_tokens: int = 0
    target_s: float = 0.0

    @property
    def memory_tokens(self) -> int:
        """Tokens in the memory of an engine when the response is complete."""
        return self.prompt_tokens + self.output_tokens

    @property
    def session(self) -> str:
        """Id of the last shared segment, which identifies the session; empty for none."""
        return self.shared[-1].id if self.shared else ""


@attrs.frozen
class ReportedLoad:
    """The load that a backend server reported, which may be out of date when it is used.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that can run concurrently.
        slowdown_percent: How long work takes at this moment, in per cent of the usual time, as
            stated; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown_percent: str | None = None


class PlacementOutcome(enum.Enum):
    """The outcome of an attempt, as far as it matters to placement."""

    DONE = "done"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    ABANDONED = "abandoned"


@attrs.frozen
class Placement:
    """The selected backend server and the expected delay.

    Attributes:
        server: The backend server.
        reason: `affinity`, `spilled` or `least-loaded`.
        expected_s: Expected time in seconds to the first token; 0 for a request that is not for a
            model engine.
        prefill_tokens: Prompt tokens that are expected not to be cached.
        weighed_at: Monotonic time at which servers inside and outside the failure domain were
            weighed against each other, in seconds; None if they were not.
    """

    server: BackendServer
    reason: str
    expected_s: float
    prefill_tokens: int = 0
    weighed_at: float | None = None
