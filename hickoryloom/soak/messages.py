"""What callers and backend servers have seen, and the times in which something was wrong."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Answer", "Bounds", "Call", "CallKind", "Disturbance", "DutyReport", "Run"]

EVERYTHING = "*"


class CallKind(enum.Enum):
    """Kinds of requests that callers send."""

    ONCE = "once"
    READ = "read"
    STREAM = "draft"
    ROUTE_COMES_AND_GOES = "extra"


@attrs.frozen
class Bounds:
    """Times that the system under test must keep, in seconds, and its retry budget.

    Attributes:
        apply_s: From a change's acknowledgement until it is in force.
        revoke_s: From a key's withdrawal until it stops working, whatever happens.
        drain_s: From a backend server's leaving until it gets nothing new.
        catch_up_s: After a disturbance, until the other bounds hold again.
        stop_s: From the request to stop until the process must be gone.
        timeout_s: Longest time in which a request gets its final answer.
        retry_ratio: Retries for each first send of a service.
        retry_slack: Retries beside these in one window.
        retry_window_s: The window.
    """

    apply_s: float
    revoke_s: float
    drain_s: float
    catch_up_s: float
    stop_s: float
    timeout_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float


@attrs.frozen
class Call:
    """One request as its caller sends it.

    Attributes:
        id: Unique.
        kind: What may be done with it.
        customer: Who pays.
        key: The caller's key.
        instance: Instance that it is sent to.
        sent: Monotonic time of the send, in seconds.
        fresh: Whether it is the first on its connection.
    """

    id: str
    kind: CallKind
    customer: str
    key: str
    instance: str
    sent: float
    fresh: bool


@attrs.frozen
class Answer:
    """What the caller got.

    Attributes:
        call: The request.
        status: HTTP status; 0 when the connection ended without one.
        ended: Monotonic time of its end, in seconds.
        whole: Whether it looks complete to the caller.
        right: Whether what came is the backend server's answer, or a beginning of it.
        detail: What went wrong, for the report.
    """

    call: Call
    status: int
    ended: float
    whole: bool
    right: bool
    detail: str = ""


@attrs.frozen
class Run:
    """A request that a backend server began to work on.

    Attributes:
        call_id: The caller's id for it.
        server: Id of the backend server.
        service: Service of the backend server.
        wanted_service: Service that the request's route names.
        at: Monotonic time, in seconds.
        customer: Customer that the request was passed on for.
        key_seen: Whether a caller's key came with it.
        rejected: Whether the backend server rejected it without running it.
    """

    call_id: str
    server: str
    service: str
    wanted_service: str
    at: float
    customer: str
    key_seen: bool
    rejected: bool = False


@attrs.frozen
class DutyReport:
    """A usage report that was taken.

    Attributes:
        holder: Who sent it.
        term: Its fencing number.
        window: Number of the window.
        counts: Requests by customer.
    """

    holder: str
    term: int
    window: int
    counts: dict[str, int]


@attrs.define
class Disturbance:
    """A time in which something was wrong.

    Attributes:
        what: The fault.
        subject: Instance or backend server; `*` for everything.
        began: Monotonic time, in seconds.
        ended: Monotonic time; infinite while it lasts.
    """

    what: str
    subject: str
    began: float
    ended: float = float("inf")
