"""What clients, workers, the operator and the platform observed in one scenario.

Times are seconds of this process's monotonic clock. A send is recorded before it happens, an arrival after
it, and the end of a run before its response is sent.
"""

import time
from dataclasses import dataclass, field

UNANSWERED = 0  # in place of an HTTP status


def now() -> float:
    return time.monotonic()


@dataclass
class SentMessage:
    """A message as a client sent it, and the response."""

    id: str
    edge: str
    method: str
    path: str
    body: bytes
    key: str  # API key in `Authorization: Token KEY`; empty: no such header
    order_key: str
    delay_ms: float
    sent_at: float
    responded_at: float = 0.0
    status: int = UNANSWERED
    ref: str = ""

    @property
    def accepted(self) -> bool:
        return self.status == 202


@dataclass
class StateQuery:
    """A client's query of a message's state, with the key that the message was sent with."""

    id: str
    sent_at: float
    responded_at: float = 0.0
    status: int = UNANSWERED
    phase: str = ""
    seal: str = ""


@dataclass
class Run:
    """One run of a message at a worker. `status` is the worker's response; 0 if it sent no complete one."""

    id: str
    worker: str
    service: str
    started_at: float
    ended_at: float = 0.0
    status: int = UNANSWERED
    seal: str = ""
    response_read: bool = False  # the sender is known to have read the whole response


@dataclass
class Version:
    """A configuration that the operator sent."""

    document: dict
    sent_at: float
    acknowledged_at: float | None = None
    rejected: bool = False  # the operator got a definite response that it is not in force

    @property
    def revision(self) -> int:
        return self.document["revision"]


@dataclass
class Incarnation:
    """One process of a node, from its start to its exit."""

    node: str
    role: str
    started_at: float
    signals: list[tuple[float, str]] = field(default_factory=list)
    ended_at: float = 0.0
    code: int | None = None
    was_serving: bool = False  # it had logged that it serves

    def received(self, *names: str) -> bool:
        return any(name in names for _, name in self.signals)


@dataclass
class History:
    """Everything observed, in the order in which it was recorded."""

    messages: dict[str, SentMessage] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    state_queries: list[StateQuery] = field(default_factory=list)
    tenants: dict[str, set[str]] = field(default_factory=dict)  # received by workers, by message id
    versions: list[Version] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)  # unplanned: kills, stops and crashes
    violations: list[str] = field(default_factory=list)  # those detected while the scenario runs
    events: list[str] = field(default_factory=list)  # the scenario's log
    started_at: float = field(default_factory=now)

    def add_event(self, text: str) -> None:
        self.events.append(f"{now() - self.started_at:8.3f} {text}")

    def add_violation(self, text: str) -> None:
        self.violations.append(text)
        self.add_event(f"PROBLEM {text}")

    def add_fault(self, text: str) -> None:
        self.faults.append((now(), text))
