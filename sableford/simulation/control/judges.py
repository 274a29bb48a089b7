"""Judges that stand outside: they see what operators and workers were answered and what members applied, and
raise a finding where that breaks a promise.

Configurations form one line: each order names the version it builds on and its own, higher one. Two that are
both in force at some time may therefore not overlap as spans from base to revision, which is what
linearizability of compare-and-set on a single register comes to; what was known before a call began bounds
what it may be answered.
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

POLL_MS = 100.0  # between two looks at members, calls under way and workers
STORY = 600  # events kept for the story of a finding
CALL_SLACK_MS = 1200.0  # a call's own second of silence, and its way


class Finding(AssertionError):
    """A promise was broken. `judge` is which, `story` what happened before."""

    def __init__(self, judge: str, text: str) -> None:
        super().__init__(f"{judge}: {text}")
        self.judge, self.text = judge, text
        self.story: list[str] = []


class Outcome(Enum):
    OPEN = "no clear answer"
    TAKEN = "acknowledged"
    REFUSED = "refused"


OPEN = Outcome.OPEN


@dataclass(eq=False)
class Order:
    """An operator's order. `result` is the configuration it makes, `took_effect` whether that was seen."""

    who: str
    tag: str
    kind: str
    base: int
    revision: int
    result: bytes
    body: bytes
    began: float
    outcome: Outcome = OPEN
    status: int = 0
    ended: float = 0.0
    took_effect: bool = False
    waited: float = 0.0  # ms of one settled stretch

    def __str__(self) -> str:
        return f"{self.tag} ({self.kind} {self.base}->{self.revision})"


@dataclass(eq=False)
class Leaving:
    """A worker that has said that it is draining."""

    id: str
    began: float
    drained: float = 0.0  # when that was acknowledged
    left: float = 0.0  # when its leave was
    over: bool = False
    waited: float = 0.0


class Judges:
    """`found` gets the first finding; after that nothing counts any more."""

    def __init__(self, bounds: RuleBounds) -> None:
        self.bounds = bounds
        self.cluster: Cluster | None = None
        self.settled: Any = lambda: False
        self.only_safety = False
        self.finding: Finding | None = None
        self.orders: list[Order] = []
        self._by_result: dict[bytes, Order] = {}
        self._line: list[tuple[int, int, Order]] = []  # those that took effect, by base and revision
        self._floor: list[tuple[float, int]] = [(0.0, 0)]  # what was known to be in force since when
        self._acknowledged: list[tuple[float, int]] = [(0.0, 0)]
        self._applied: dict[Any, int] = {}
        self._echoes: dict[str, int] = {}
        self.leaving: dict[str, Leaving] = {}
        self.on_acknowledged: list[Any] = []
        self.counts: dict[str, int] = {}
        self._story: deque = deque(maxlen=STORY)

    # The story

    def now(self) -> float:
        return self.cluster.now()

    def tell(self, event: str, **facts: Any) -> None:
        self._story.append((self.now(), "", event, facts))

    def logged(self, node: str, event: str, facts: dict) -> None:
        self._story.append((self.now(), node, event, facts))
        if event == "unforeseen":
            self.found("unforeseen", f"{node}: {facts}")

    def story(self) -> list[str]:
        return [
            f"{at / 1000.0 - 1000.0:8.3f} {node or '*':10} {event} "
            + " ".join(f"{key}={value}" for key, value in facts.items())
            for at, node, event, facts in self._story
        ]

    def found(self, judge: str, text: str) -> None:
        if self.finding is None:
            self.finding = Finding(judge, text)
            self.finding.story = self.story()
            self.cluster.loop.stop()

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # Orders and reads

    def ordered(self, order: Order) -> None:
        self.orders.append(order)
        self._by_result[order.result] = order
        self.tell("order_sent", order=order)

    def answered(self, order: Order, status: int, body: bytes) -> None:
        self.tell("order_answered", order=order, status=status, body=body.decode())
        order.status, order.ended = status, self.now()
        self.count(f"order {status}")
        if status == 200:
            self._acknowledge(order, body)
            return
        order.outcome = Outcome.REFUSED
        if status != 412:
            self.found("refused", f"{order} was answered {status}: {body.decode()}")
        if order.took_effect:
            self.found("refused in force", f"{order} was answered {status} and is in force")

    def _acknowledge(self, order: Order, body: bytes) -> None:
        told = orjson.loads(body).get("revision")
        if told != order.revision:
            self.found("wrong answer", f"{order} was answered for revision {told}")
        order.outcome, order.ended = Outcome.TAKEN, self.now()
        if self._known_at(order.began) > order.base:
            self.found("old base", f"{order} was acknowledged on a base that was over before it was sent")
        self._take_effect(order)
        self._know(order.revision)
        self._acknowledged.append((self.now(), max(order.revision, self._acknowledged[-1][1])))
        for tell in self.on_acknowledged:
            tell()

    def repeated(self, order: Order, status: int, body: bytes) -> None:
        """An order was sent again after its answer, or after it was given up."""
        self.tell("order_repeated", order=order, status=status)
        if 400 <= status < 500 and order.took_effect:
            self.found(
                "repeat refused", f"{order} is in force, and sent again it was answered {status}: {body}"
            )
        if status == 200 and order.outcome is not Outcome.TAKEN:
            if order.outcome is Outcome.REFUSED:
                self.found("refused in force", f"{order} was refused, and sent again it was acknowledged")
            self._acknowledge(order, body)

    def read(self, who: str, began: float, revision: int, doc: bytes) -> None:
        floor = self._known_at(began)
        self.tell("read", who=who, revision=revision)
        self.count("read")
        if revision < floor:
            self.found("stale read", f"{who} read {revision} after {floor} was known to be in force")
        if revision:
            self._seen(doc, f"read by {who}")
            self._know(revision)

    def _seen(self, doc: bytes, where: str) -> None:
        order = self._by_result.get(doc)
        if order is None:
            self.found("unknown configuration", f"{where}: {doc.decode()}")
            return
        if order.outcome is Outcome.REFUSED:
            self.found("refused in force", f"{order} was answered {order.status}, and {where}")
        self._take_effect(order)

    def _take_effect(self, order: Order) -> None:
        if order.took_effect:
            return
        order.took_effect = True
        insort(self._line, (order.base, order.revision, order), key=lambda one: one[:2])
        at = next(place for place, one in enumerate(self._line) if one[2] is order)
        for (_, before_revision, before), (after_base, _, after) in zip(
            self._line[max(0, at - 1) : at + 1], self._line[max(0, at - 1) + 1 : at + 2], strict=False
        ):
            if after_base < before_revision:
                self.found("two on one base", f"{before} and {after} were both in force")

    def _know(self, revision: int) -> None:
        self._floor.append((self.now(), max(revision, self._floor[-1][1])))

    def _known_at(self, at: float) -> int:
        """The newest version that was known to be in force before then."""
        return self._floor[bisect_right(self._floor, at, key=lambda one: one[0]) - 1][1]

    def acknowledged_at(self, at: float) -> int:
        log = self._acknowledged
        return log[bisect_right(log, at, key=lambda one: one[0]) - 1][1]

    # Members

    def applied(self, program: Any, config: ConfigurationVersion) -> None:
        revision = config.revision
        if revision < self._applied.get(program, 0):
            self.found("went back", f"{program.process.host} from {self._applied[program]} to {revision}")
        self._applied[program] = revision
        if config.document is not None:
            doc = orjson.dumps(config.document, option=orjson.OPT_SORT_KEYS)
            self._seen(doc, f"applied by {program.process.host}")

    def poll(self) -> None:
        """Members under a lease, calls under way, workers that leave."""
        cluster = self.cluster
        newest = self.acknowledged_at(self.now() - self.bounds.apply_ms)
        for machine in cluster.machines.values():
            if not machine.running or not machine.program.member.holds_lease():
                continue
            member = machine.program.member
            has = member.config.revision if member.config else 0
            if has < newest:
                self.found(
                    "stale member", f"{machine.node} serves {has} under a lease; {newest} is acknowledged"
                )
            if machine.role == "store":
                self._look_at_workers(machine)
        if not self.only_safety:
            self._look_at_waits()
        cluster.network.later(POLL_MS / 1000.0, self.poll)

    def _look_at_workers(self, machine: Any) -> None:
        for leaving in self.leaving.values():
            known = machine.program.member.workers.get(leaving.id)
            if known is not None and known.phase == "ready" and (leaving.drained or leaving.left):
                self.found(
                    "drain", f"{machine.node} holds {leaving.id} for ready; its draining was acknowledged"
                )

    def _look_at_waits(self) -> None:
        settled = self.settled()
        most = self.bounds.order_ack_ms + CALL_SLACK_MS
        for order in self.orders[-40:]:
            if order.outcome is not OPEN or not settled:
                order.waited = 0.0
                continue
            order.waited += POLL_MS
            if order.waited > most:
                self.found("not acknowledged", f"{order} waits {order.waited:.0f} ms in a settled core")
        for leaving in self.leaving.values():
            if leaving.drained or leaving.over or not settled:
                leaving.waited = 0.0
                continue
            leaving.waited += POLL_MS
            if leaving.waited > most:
                self.found("drain not acknowledged", f"{leaving.id} waits {leaving.waited:.0f} ms")

    # Calls between processes

    def echo_handled(self, tag: str) -> None:
        self._echoes[tag] = self._echoes.get(tag, 0) + 1
        if self._echoes[tag] > 1:
            self.found("sent twice", f"{tag} came {self._echoes[tag]} times")

    def echo_answered(self, tag: str, answer: Any) -> None:
        self.count("echo")
        if answer != tag:
            self.found("wrong answer", f"{tag} was answered as {answer}")

    # The end of a walk

    def judge_refusals(self) -> None:
        """Each refusal wants another order that came first, or may have."""
        for order in self.orders:
            if order.outcome is not Outcome.REFUSED:
                continue
            others = (
                one
                for one in self.orders
                if one is not order and one.base == order.base and (one.took_effect or one.outcome is OPEN)
            )
            if next(others, None) is None:
                self.found(
                    "refused", f"{order} was answered {order.status}, and nothing else built on its base"
                )

    def newest(self) -> int:
        return self._floor[-1][1]
