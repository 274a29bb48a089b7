"""Checks the guarantees of the control plane from the outside: from the responses that operators and workers
get and from the configurations that members apply.

Configurations form a single history: each order names the revision it is based on and its own, higher
revision. The intervals from base to revision of two orders that both took effect must therefore not overlap.
This is linearizability of compare-and-set on a single register. The newest revision known before a call
started is the oldest one that the call may return.
"""

from bisect import bisect_right, insort
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson

from sableford.common.settings import RuleBounds
from sableford.control.protocol import ConfigurationVersion
from sableford.simulation.control.cluster import Cluster

POLL_MS = 100.0  # between two checks of members, calls in flight and workers
TRACE_LENGTH = 600  # events kept to explain a violation
CALL_SLACK_MS = 1200.0  # the time-out of one call (1 s) and the network delay


class Violation(AssertionError):
    """A guarantee was broken: `rule` names it, `trace` holds the events before."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule, self.text = rule, text
        self.trace: list[str] = []


class Outcome(Enum):
    UNRESOLVED = "no clear answer"
    ACKNOWLEDGED = "acknowledged"
    REJECTED = "refused"


UNRESOLVED = Outcome.UNRESOLVED


@dataclass(eq=False)
class Order:
    """An order of an operator. `result` is the configuration that it produces; `took_effect` is whether that
    configuration was observed."""

    operator: str
    tag: str
    kind: str
    base: int
    revision: int
    result: bytes
    body: bytes
    started_at: float
    outcome: Outcome = UNRESOLVED
    status: int = 0
    ended_at: float = 0.0
    took_effect: bool = False
    waiting_ms: float = 0.0  # without an answer, while the core was settled without interruption

    def __str__(self) -> str:
        return f"{self.tag} ({self.kind} {self.base}->{self.revision})"


@dataclass(eq=False)
class DrainingWorker:
    """A worker that has reported that it is draining."""

    id: str
    started_at: float
    drained_at: float = 0.0  # when the draining was acknowledged
    left_at: float = 0.0  # when its departure was acknowledged
    finished: bool = False
    waiting_ms: float = 0.0


class InvariantChecker:
    """Keeps the first violation in `violation` and stops the event loop; later ones are ignored."""

    def __init__(self, bounds: RuleBounds) -> None:
        self.bounds = bounds
        self.cluster: Cluster | None = None
        self.settled: Any = lambda: False
        self.safety_only = False
        self.violation: Violation | None = None
        self.orders: list[Order] = []
        self._by_result: dict[bytes, Order] = {}
        # Orders that took effect, sorted by base and revision.
        self._effective_orders: list[tuple[int, int, Order]] = []
        # Since when which revision was known to be in force.
        self._known_revisions: list[tuple[float, int]] = [(0.0, 0)]
        self._acknowledged_revisions: list[tuple[float, int]] = [(0.0, 0)]
        self._applied_revisions: dict[Any, int] = {}
        self._echo_counts: dict[str, int] = {}
        self.draining_workers: dict[str, DrainingWorker] = {}
        self.on_acknowledged: list[Any] = []
        self.counts: dict[str, int] = {}
        self._trace: deque = deque(maxlen=TRACE_LENGTH)

    # Event trace

    def now(self) -> float:
        return self.cluster.now()

    def record_event(self, event: str, **facts: Any) -> None:
        self._trace.append((self.now(), "", event, facts))

    def log_event(self, node: str, event: str, facts: dict) -> None:
        self._trace.append((self.now(), node, event, facts))
        if event == "unforeseen":
            self.report_violation("unforeseen", f"{node}: {facts}")

    def trace(self) -> list[str]:
        return [
            f"{at / 1000.0 - 1000.0:8.3f} {node or '*':10} {event} "
            + " ".join(f"{key}={value}" for key, value in facts.items())
            for at, node, event, facts in self._trace
        ]

    def report_violation(self, rule: str, text: str) -> None:
        if self.violation is None:
            self.violation = Violation(rule, text)
            self.violation.trace = self.trace()
            self.cluster.loop.stop()

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # Orders and reads

    def order_sent(self, order: Order) -> None:
        self.orders.append(order)
        self._by_result[order.result] = order
        self.record_event("order_sent", order=order)

    def order_answered(self, order: Order, status: int, body: bytes) -> None:
        self.record_event("order_answered", order=order, status=status, body=body.decode())
        order.status, order.ended_at = status, self.now()
        self.count(f"order {status}")
        if status == 200:
            self._acknowledge(order, body)
            return
        order.outcome = Outcome.REJECTED
        if status != 412:
            self.report_violation("refused", f"{order} was answered {status}: {body.decode()}")
        if order.took_effect:
            self.report_violation("refused in force", f"{order} was answered {status} and is in force")

    def _acknowledge(self, order: Order, body: bytes) -> None:
        answered = orjson.loads(body).get("revision")
        if answered != order.revision:
            self.report_violation("wrong answer", f"{order} was answered for revision {answered}")
        order.outcome, order.ended_at = Outcome.ACKNOWLEDGED, self.now()
        if self._known_revision_at(order.started_at) > order.base:
            self.report_violation(
                "old base", f"{order} was acknowledged on a base that was superseded before it was sent"
            )
        self._take_effect(order)
        self._record_known_revision(order.revision)
        self._acknowledged_revisions.append(
            (self.now(), max(order.revision, self._acknowledged_revisions[-1][1]))
        )
        for callback in self.on_acknowledged:
            callback()

    def order_repeated(self, order: Order, status: int, body: bytes) -> None:
        """The answer to an order that was sent again after its answer or after the operator gave up."""
        self.record_event("order_repeated", order=order, status=status)
        if 400 <= status < 500 and order.took_effect:
            self.report_violation(
                "repeat refused", f"{order} is in force, and its repetition was answered {status}: {body}"
            )
        if status == 200 and order.outcome is not Outcome.ACKNOWLEDGED:
            if order.outcome is Outcome.REJECTED:
                self.report_violation(
                    "refused in force", f"{order} was refused, and its repetition was acknowledged"
                )
            self._acknowledge(order, body)

    def config_read(self, who: str, started_at: float, revision: int, doc: bytes) -> None:
        oldest_allowed = self._known_revision_at(started_at)
        self.record_event("read", who=who, revision=revision)
        self.count("read")
        if revision < oldest_allowed:
            self.report_violation(
                "stale read", f"{who} read {revision} after {oldest_allowed} was known to be in force"
            )
        if revision:
            self._check_configuration(doc, f"read by {who}")
            self._record_known_revision(revision)

    def _check_configuration(self, doc: bytes, where: str) -> None:
        order = self._by_result.get(doc)
        if order is None:
            self.report_violation("unknown configuration", f"{where}: {doc.decode()}")
            return
        if order.outcome is Outcome.REJECTED:
            self.report_violation("refused in force", f"{order} was answered {order.status}, and {where}")
        self._take_effect(order)

    def _take_effect(self, order: Order) -> None:
        if order.took_effect:
            return
        order.took_effect = True
        insort(self._effective_orders, (order.base, order.revision, order), key=lambda one: one[:2])
        index = next(at for at, one in enumerate(self._effective_orders) if one[2] is order)
        for (_, earlier_revision, earlier), (later_base, _, later) in zip(
            self._effective_orders[max(0, index - 1) : index + 1],
            self._effective_orders[max(0, index - 1) + 1 : index + 2],
            strict=False,
        ):
            if later_base < earlier_revision:
                self.report_violation("two on one base", f"{earlier} and {later} were both in force")

    def _record_known_revision(self, revision: int) -> None:
        self._known_revisions.append((self.now(), max(revision, self._known_revisions[-1][1])))

    def _known_revision_at(self, at: float) -> int:
        """Returns the newest revision that was known to be in force at that time."""
        return self._known_revisions[bisect_right(self._known_revisions, at, key=lambda one: one[0]) - 1][1]

    def acknowledged_revision_at(self, at: float) -> int:
        history = self._acknowledged_revisions
        return history[bisect_right(history, at, key=lambda one: one[0]) - 1][1]

    # Members

    def config_applied(self, program: Any, config: ConfigurationVersion) -> None:
        revision = config.revision
        if revision < self._applied_revisions.get(program, 0):
            self.report_violation(
                "went back", f"{program.process.host} from {self._applied_revisions[program]} to {revision}"
            )
        self._applied_revisions[program] = revision
        if config.document is not None:
            doc = orjson.dumps(config.document, option=orjson.OPT_SORT_KEYS)
            self._check_configuration(doc, f"applied by {program.process.host}")

    def poll(self) -> None:
        """Checks members under a lease, calls in flight and draining workers."""
        cluster = self.cluster
        newest = self.acknowledged_revision_at(self.now() - self.bounds.apply_ms)
        for machine in cluster.machines.values():
            if not machine.running or not machine.program.member.holds_lease():
                continue
            member = machine.program.member
            revision = member.config.revision if member.config else 0
            if revision < newest:
                self.report_violation(
                    "stale member",
                    f"{machine.node} serves {revision} under a lease; {newest} is acknowledged",
                )
            if machine.role == "store":
                self._check_workers(machine)
        if not self.safety_only:
            self._check_waits()
        cluster.network.later(POLL_MS / 1000.0, self.poll)

    def _check_workers(self, machine: Any) -> None:
        for draining in self.draining_workers.values():
            known = machine.program.member.workers.get(draining.id)
            if known is not None and known.phase == "ready" and (draining.drained_at or draining.left_at):
                self.report_violation(
                    "drain",
                    f"{machine.node} regards {draining.id} as ready after its draining was acknowledged",
                )

    def _check_waits(self) -> None:
        settled = self.settled()
        limit_ms = self.bounds.order_ack_ms + CALL_SLACK_MS
        for order in self.orders[-40:]:
            if order.outcome is not UNRESOLVED or not settled:
                order.waiting_ms = 0.0
                continue
            order.waiting_ms += POLL_MS
            if order.waiting_ms > limit_ms:
                self.report_violation(
                    "not acknowledged", f"{order} has waited for {order.waiting_ms:.0f} ms in a settled core"
                )
        for draining in self.draining_workers.values():
            if draining.drained_at or draining.finished or not settled:
                draining.waiting_ms = 0.0
                continue
            draining.waiting_ms += POLL_MS
            if draining.waiting_ms > limit_ms:
                self.report_violation(
                    "drain not acknowledged", f"{draining.id} has waited for {draining.waiting_ms:.0f} ms"
                )

    # Calls between processes

    def echo_handled(self, tag: str) -> None:
        self._echo_counts[tag] = self._echo_counts.get(tag, 0) + 1
        if self._echo_counts[tag] > 1:
            self.report_violation("sent twice", f"{tag} was handled {self._echo_counts[tag]} times")

    def echo_answered(self, tag: str, answer: Any) -> None:
        self.count("echo")
        if answer != tag:
            self.report_violation("wrong answer", f"{tag} got the answer {answer}")

    # End of a run

    def check_rejections(self) -> None:
        """Each rejected order needs another order with the same base that took effect, or may have."""
        for order in self.orders:
            if order.outcome is not Outcome.REJECTED:
                continue
            others = (
                one
                for one in self.orders
                if one is not order
                and one.base == order.base
                and (one.took_effect or one.outcome is UNRESOLVED)
            )
            if next(others, None) is None:
                self.report_violation(
                    "refused", f"{order} was answered {order.status}, and no other order has its base"
                )

    def newest_known_revision(self) -> int:
        return self._known_revisions[-1][1]
