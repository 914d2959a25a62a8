"""The latest decisions of an entry, kept for `hickoryloom explain`."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import falcon

__all__ = ["DecisionLog", "add_explain_route"]

DECISIONS_KEPT = 2000


class DecisionLog:
    """The latest decisions by request id, for `hickoryloom explain`."""

    def __init__(self, kept: int = DECISIONS_KEPT) -> None:
        self._kept = kept
        self._steps: OrderedDict[str, list[dict[str, Any]]] = OrderedDict()

    def add(self, request_id: str, step: str, **fields: Any) -> None:
        """Add one step of a request's way."""
        steps = self._steps.get(request_id)
        if steps is None:
            steps = self._steps[request_id] = []
            if len(self._steps) > self._kept:
                self._steps.popitem(last=False)
        steps.append({"step": step, **fields})

    def get(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return the steps of a request, or None when it is not known."""
        return self._steps.get(request_id)


class _Explain:
    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions

    def on_get(self, req: falcon.Request, resp: falcon.Response, request_id: str) -> None:
        """Answer with the steps of one request."""
        steps = self._decisions.get(request_id)
        if steps is None:
            raise falcon.HTTPNotFound(title="unknown request")
        resp.media = {"request_id": request_id, "steps": steps}


def add_explain_route(app: falcon.App, decisions: DecisionLog) -> None:
    """Add the route by which operators ask for the decisions on a request."""
    app.add_route("/explain/{request_id}", _Explain(decisions))
