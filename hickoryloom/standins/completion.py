"""Completions of the engine stand-in, including injected faults."""

from __future__ import annotations

import json
import uuid
from collections.abc import Iterator
from typing import Any

import falcon

from hickoryloom.standins import text
from hickoryloom.standins.engine_state import EngineState

__all__ = ["Completion"]

DEFAULT_PRIORITY = 4
STALL_S = 3600.0


class Completion:
    """Generates the completion of one request, token by token."""

    def __init__(
        self, engine: EngineState, request: falcon.Request, body: dict[str, Any], chat: bool
    ) -> None:
        self._engine = engine
        self._body = body
        self._chat = chat
        self._prefix = request.get_header("X-Prefix-Hash") or text.prefix_hash(body)
        self._id = request.get_header("X-Request-Id") or uuid.uuid4().hex
        self._tokens = text.answer_tokens(body)
        self._start = _resume_position(body, self._tokens)
        priority = request.get_header_as_int("X-Priority") or DEFAULT_PRIORITY
        self._engine_request = engine.start_request(self._id, priority, self._start)
        if engine.consume_switch("cross_next"):
            self._id, self._tokens = engine.previous_completion
        engine.previous_completion = (self._id, self._tokens)

    def complete(self) -> dict[str, Any]:
        """Generate all tokens and return the body of a non-streamed response."""
        pieces = [token for _, token in self._produce()]
        choice = {"index": 0, "finish_reason": "stop", **self._content("".join(pieces), "message")}
        return {
            "id": self._id,
            "object": "chat.completion" if self._chat else "text_completion",
            "model": self._body["model"],
            "choices": [choice],
            "usage": self._usage(),
        }

    def stream(self) -> Iterator[bytes]:
        """Yield the completion as server-sent events, applying the stream faults that are set."""
        engine = self._engine
        cut, stall = engine.consume_switch("cut_next"), engine.consume_switch("silent_next")
        copies = 2 if engine.consume_switch("duplicate_next") else 1
        for position, token in self._produce():
            if position >= engine.switches.at_position:
                if cut:
                    raise ConnectionResetError("stream cut by a fault switch")
                if stall:
                    self._engine_request.cancelled.wait(STALL_S)
            choice = {"index": 0, "finish_reason": None, **self._content(token, "delta")}
            yield self._event(position, choice) * copies
        if self._engine_request.state == "cancelled":
            return
        last = {"index": 0, "finish_reason": "stop", **self._content("", "delta")}
        yield self._event(len(self._tokens), last, usage=self._usage()) * copies
        yield b"data: [DONE]\n\n"

    def _produce(self) -> Iterator[tuple[int, str]]:
        engine, request = self._engine, self._engine_request
        completed = False
        if not engine.batch.acquire(request):
            request.state = "cancelled"
            return
        try:
            self._prefill()
            for position in range(self._start, len(self._tokens)):
                if position > self._start:
                    engine.wait(request, engine.switches.token_ms / 1000)
                if request.cancelled.is_set():
                    return
                request.position = position + 1
                engine.counters["tokens"] += 1
                yield position, self._tokens[position]
            completed = True
        finally:
            engine.batch.release()
            request.state = "done" if completed else "cancelled"
            engine.counters[request.state] += 1

    def _prefill(self) -> None:
        engine = self._engine
        tokens = text.prompt_tokens(self._body)
        if engine.cache.use(self._prefix):
            engine.counters["cache_hits"] += 1
            tokens = max(0, tokens - text.PREFIX_CHARACTERS // text.CHARACTERS_PER_TOKEN)
        engine.wait(self._engine_request, tokens * engine.switches.prefill_us / 1_000_000)

    def _content(self, content: str, field: str) -> dict[str, Any]:
        if not self._chat:
            return {"text": content}
        return {field: {"role": "assistant", "content": content}}

    def _usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": text.prompt_tokens(self._body),
            "completion_tokens": len(self._tokens),
        }

    def _event(self, position: int, choice: dict[str, Any], **more: Any) -> bytes:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        event = {"id": self._id, "position": position, "object": kind, "choices": [choice], **more}
        return f"data: {json.dumps(event)}\n\n".encode()


def _resume_position(body: dict[str, Any], tokens: list[str]) -> int:
    resume = body.get("resume")
    if not resume:
        return 0
    position = int(resume["position"])
    if resume["text"] != "".join(tokens[:position]):
        raise falcon.HTTPBadRequest(title="the text to resume from is not of this request")
    return position
