"""What clients, workers, the operator and the platform saw in one scene. Times are s of this process's
steady clock: a sending is noted before it, an arrival after it, an end before it is told.
"""

import time
from dataclasses import dataclass, field

UNANSWERED = 0  # in place of a status


def now() -> float:
    return time.monotonic()


@dataclass
class Sent:
    """A message as a client sent it, and what came of that."""

    id: str
    edge: str
    method: str
    path: str
    body: bytes
    key: str  # what stands in Authorization behind "Token "; empty: no such field
    order_key: str
    delay_ms: float
    sent_at: float
    answered_at: float = 0.0
    status: int = UNANSWERED
    ref: str = ""
    problem: str = ""  # what no answer may look like

    @property
    def accepted(self) -> bool:
        return self.status == 202


@dataclass
class Asked:
    """What a client was told of a message's state, with the key that the message was sent with."""

    id: str
    sent_at: float
    answered_at: float = 0.0
    status: int = UNANSWERED
    phase: str = ""
    seal: str = ""


@dataclass
class Run:
    """One run of a message at a worker. `status` is what the worker answered, 0 where it broke off."""

    id: str
    worker: str
    service: str
    begun_at: float
    ended_at: float = 0.0
    status: int = UNANSWERED
    seal: str = ""
    was_read: bool = False  # the sender is known to have read the whole answer


@dataclass
class Version:
    """A configuration that the operator sent."""

    document: dict
    sent_at: float
    acknowledged_at: float | None = None
    refused: bool = False  # told for certain that it is not in force

    @property
    def revision(self) -> int:
        return self.document["revision"]


@dataclass
class Life:
    """One process from its start to its end."""

    node: str
    role: str
    started_at: float
    signals: list[tuple[float, str]] = field(default_factory=list)
    ended_at: float = 0.0
    code: int | None = None
    was_up: bool = False  # it had said that it serves

    def got(self, *names: str) -> bool:
        return any(name in names for _, name in self.signals)


@dataclass
class Record:
    """All of it, in the order in which it was noted."""

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    tenants: dict[str, set[str]] = field(default_factory=dict)  # by message: as workers were told
    versions: list[Version] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    troubles: list[tuple[float, str]] = field(default_factory=list)  # unplanned ones
    problems: list[str] = field(default_factory=list)  # wrongs that are seen as they happen
    events: list[str] = field(default_factory=list)  # what was done, for the log of the scene
    begun_at: float = field(default_factory=now)

    def event(self, text: str) -> None:
        self.events.append(f"{now() - self.begun_at:8.3f} {text}")

    def problem(self, text: str) -> None:
        self.problems.append(text)
        self.event(f"PROBLEM {text}")

    def trouble(self, text: str) -> None:
        self.troubles.append((now(), text))
