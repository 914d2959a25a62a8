"""Messages of placing: the work to place, reported load, and the choice made."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.discovery import BackendServer

__all__ = ["Ending", "Placement", "PromptPart", "ReportedLoad", "Work"]


@attrs.frozen
class PromptPart:
    """A part of a prompt that other prompts may begin with too.

    Attributes:
        id: Same id, same tokens.
        tokens: Its length in tokens.
    """

    id: str
    tokens: int


@attrs.frozen
class Work:
    """What a request asks of a backend server.

    Attributes:
        service: Service that serves it.
        prompt_tokens: Tokens to read; 0 for a request that is not for a model engine.
        shared: Parts of the prompt that other prompts share, in order.
    """

    service: str
    prompt_tokens: int = 0
    shared: tuple[PromptPart, ...] = ()

    @property
    def session(self) -> str:
        """The last shared part, which a session's requests have in common; empty for none."""
        return self.shared[-1].id if self.shared else ""


@attrs.frozen
class ReportedLoad:
    """A backend server's word on its load, already old when it is used.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run side by side.
    """

    running: int
    waiting: int
    slots: int


class Ending(enum.Enum):
    """How an attempt ended, as far as placing cares."""

    DONE = "done"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    ABANDONED = "abandoned"


@attrs.frozen
class Placement:
    """A choice, and what was expected of it.

    Attributes:
        server: The backend server.
        reason: `affinity`, `spilled` or `least-loaded`.
        expected_s: Expected seconds to the first token, or to the answer of a plain request.
        prefill_tokens: Tokens that it is expected to read anew.
    """

    server: BackendServer
    reason: str
    expected_s: float
    prefill_tokens: int = 0
