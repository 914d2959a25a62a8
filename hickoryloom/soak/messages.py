"""Observations of callers and backend servers, and periods of disturbance."""

from __future__ import annotations

import enum

import attrs

__all__ = [
    "Answer",
    "Bounds",
    "Call",
    "CallKind",
    "Disturbance",
    "DutyReport",
    "Limits",
    "Run",
]

ALL_SUBJECTS = "*"


class CallKind(enum.Enum):
    """Kinds of requests that callers send."""

    ONCE = "once"
    READ = "read"
    STREAM = "draft"
    EXTRA_ROUTE = "extra"
    LONG_STREAM = "long"
    LONG_PROMPT = "costly"

    @property
    def runs_once(self) -> bool:
        """Whether such a request may run at most once."""
        return self in (CallKind.ONCE, CallKind.LONG_STREAM)


@attrs.frozen
class Bounds:
    """Time limits and retry budget that the system under test must keep; times are in seconds.

    Attributes:
        apply_s: From the acknowledgement of a configuration change until it is in force.
        revoke_s: From the withdrawal of a key until it is rejected, under any faults.
        drain_s: From the start of a backend server's draining until it gets no new requests.
        catch_up_s: From the end of a disturbance until the other bounds hold again.
        stop_s: From the request to stop until the process must have exited.
        timeout_s: Longest time until a request gets its final response.
        retry_ratio: Retries allowed for each first attempt of a service.
        retry_slack: Retries allowed in one window in addition to the ratio.
        retry_window_s: Length of the window.
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
class Limits:
    """Limits that the operator may change at any time; times are in seconds.

    Attributes:
        timeout_s: Longest time that a request may take.
        header_timeout_s: Longest time for receiving the headers of a request.
        idle_s: Time for which callers may keep an idle connection.
    """

    timeout_s: float = 4.0
    header_timeout_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class Call:
    """One request as its caller sends it.

    Attributes:
        id: Unique id.
        kind: Kind of the request, which decides whether it may be retried.
        customer: Customer that is charged for it.
        key: The caller's key.
        instance: Instance that it is sent to.
        sent: Monotonic time of the send, in seconds.
        fresh: Whether it is the first request on its connection.
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
    """The response that a caller received.

    Attributes:
        call: The request.
        status: HTTP status; 0 if the connection ended without one.
        ended: Monotonic time of its end, in seconds.
        whole: Whether the response is complete by its framing.
        correct: Whether the body is the backend server's response or a prefix of it.
        detail: Description of the failure, for the report.
        refused: Whether nothing listened at the instance's address.
    """

    call: Call
    status: int
    ended: float
    whole: bool
    correct: bool
    detail: str = ""
    refused: bool = False


@attrs.frozen
class Run:
    """A request that reached a backend server.

    Attributes:
        call_id: The caller's id of the request.
        server: Id of the backend server.
        service: Service of the backend server.
        wanted_service: Service that the request's route names.
        received_at: Monotonic time at which it arrived, in seconds.
        customer: Customer for which the request was forwarded.
        key_seen: Whether the request carried a caller's key.
        rejected: Whether the backend server rejected it without running it.
    """

    call_id: str
    server: str
    service: str
    wanted_service: str
    received_at: float
    customer: str
    key_seen: bool
    rejected: bool = False


@attrs.frozen
class DutyReport:
    """A usage report that the platform accepted.

    Attributes:
        holder: Sender of the report, as holder of the duty.
        term: Term of the holder, which serves as its fencing token.
        window: Number of the window.
        counts: Requests by customer.
    """

    holder: str
    term: int
    window: int
    counts: dict[str, int]


@attrs.define
class Disturbance:
    """A period during which a fault was active.

    Attributes:
        fault: Name of the fault.
        subject: Instance or backend server; `*` for all of them.
        began: Monotonic time, in seconds.
        ended: Monotonic time; infinite while the fault is active.
    """

    fault: str
    subject: str
    began: float
    ended: float = float("inf")
