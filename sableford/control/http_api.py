"""The HTTP API for workers and operators.

It parses a call (`requests`), has it decided (`order_process`, the coordinator), carries out the effects in
the control service, and writes the answer. PROTOCOL.md defines the calls ("Which workers there are", "The
operator").
"""

from collections.abc import Awaitable, Iterable
from typing import Protocol

import orjson

from sableford.common.log import EventLog
from sableford.control import order_process, orders, requests
from sableford.control.configuration import InvalidRequestError
from sableford.control.coordinator import STORES, Coordinator
from sableford.control.effects import Effect
from sableford.control.order_process import (
    AskMajority,
    AwaitMembers,
    OrderProcess,
    ProposalOutcome,
    Propose,
    Respond,
)
from sableford.control.requests import OrderKind
from sableford.control.retirement import Phase, RetirementRefusedError
from sableford.control.roster import Outcome
from sableford.control.timing import APPLY_WAIT_MS
from sableford.control.workers import Worker
from sableford.transport.http import HttpRequest, HttpResponse
from sableford.transport.path_router import ANY, PathRouter

CALLER_TIMEOUT_MS = 1000.0  # without an answer, after which callers try another control node (PROTOCOL.md)
MAJORITY_TIMEOUT_MS = 700.0  # less than CALLER_TIMEOUT_MS, so that the caller still gets an answer
ORDER_TIMEOUT_MS = 3000.0  # for one order: its caller has sent it again by then
RETRY_AFTER = (("Retry-After", "1"),)


class ControlPlane(Protocol):
    """What the API needs from the control service; see `service.ControlService`."""

    log: EventLog
    coordinator: Coordinator

    def now(self) -> float: ...

    @property
    def leads(self) -> bool: ...

    @property
    def state(self) -> orders.State: ...

    def leads_with_majority(self) -> bool: ...

    def leader_address(self) -> str: ...

    def own_address(self) -> str: ...

    def carry_out(self, effects: Iterable[Effect]) -> None: ...

    async def confirm_majority(self, timeout_ms: float) -> bool: ...

    async def propose(self, state: orders.State, timeout_ms: float) -> ProposalOutcome: ...

    async def applied(
        self, update_number: int, roles: tuple[str, ...], after_old_leases: bool = False
    ) -> bool: ...

    async def configuration_applied(self) -> bool: ...

    async def confirm_state(self) -> bool: ...

    async def retire(self, node: str) -> Outcome: ...

    def retirement_phase(self, node: str) -> Phase | None: ...


def worker_of(id: str, heartbeat: requests.Heartbeat) -> Worker:
    """The entry of the workers' list that a heartbeat describes."""
    return Worker(
        id,
        heartbeat.backend,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.capacity,
        heartbeat.phase.value,
        heartbeat.slow_start_left_ms,
        heartbeat.revision or "",
        heartbeat.call_count,
    )


def refusal(status: int, reason: str) -> HttpResponse:
    """An error answer with a reason; with 503 it also has a Retry-After header."""
    return HttpResponse(status, orjson.dumps({"reason": reason}), RETRY_AFTER if status == 503 else ())


class HttpApi:
    """The calls that one control node serves."""

    def __init__(self, control: ControlPlane) -> None:
        self._control = control
        instance = {"heartbeat": {"POST": self._heartbeat}, "leave": {"POST": self._leave}}
        config = {
            "replace": {"POST": lambda request: self._order(OrderKind.REPLACE, request)},
            "amend": {"POST": lambda request: self._order(OrderKind.AMEND, request)},
            "read": {"GET": self._read_configuration},
        }
        retirement = {"start": {"POST": self._retire}, "read": {"GET": self._read_retirement}}
        self._calls = PathRouter(
            {"v1": {"instances": {ANY: instance}, "config": config, "retire": {ANY: retirement}}}
        )

    def handle(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        """Answers a call if this process is the leader, else redirects the caller to the leader."""
        call, given = self._calls.find(request.method, request.path)
        if isinstance(call, int):
            return refusal(call, "no such call")
        if not self._control.leads:
            return self._redirect(request)
        return self._checked(call(request, *given))

    async def _checked(self, answer: Awaitable[HttpResponse]) -> HttpResponse:
        try:
            return await answer
        except InvalidRequestError as problem:
            return refusal(400, str(problem))

    def _redirect(self, request: HttpRequest) -> HttpResponse:
        address = self._control.leader_address()
        if not address:
            return refusal(503, "no leader is known here")
        target = request.target.decode("latin-1")
        return HttpResponse(307, b"", (("Location", f"http://{address}{target}"),))

    # Workers

    async def _heartbeat(self, request: HttpRequest, id: str) -> HttpResponse:
        control = self._control
        worker = worker_of(requests.worker_id(id), requests.heartbeat(request.body))
        update_number, effects = control.coordinator.worker_heartbeat(control.now(), worker)
        control.carry_out(effects)
        if update_number and not await self._is_known_to_stores(update_number):
            return refusal(503, "not known to all yet")
        if not control.leads_with_majority():
            return refusal(503, order_process.NO_MAJORITY)
        address = control.own_address()
        return HttpResponse(200, orjson.dumps({"beatTarget": address} if address else {}))

    async def _leave(self, request: HttpRequest, id: str) -> HttpResponse:
        control = self._control
        update_number, effects = control.coordinator.worker_left(control.now(), requests.worker_id(id))
        control.carry_out(effects)
        if not await self._is_known_to_stores(update_number):
            return refusal(503, "not known to all yet")
        return HttpResponse(200, b"{}")

    async def _is_known_to_stores(self, update_number: int) -> bool:
        """Whether all stores have applied the update and this process is still the leader. One that was
        suspended may have lost its members meanwhile, so that there is no store to wait for."""
        control = self._control
        if not await control.applied(update_number, STORES, after_old_leases=True):
            return False
        return await control.confirm_majority(CALLER_TIMEOUT_MS - APPLY_WAIT_MS) and control.leads

    # The configuration

    async def _order(self, kind: OrderKind, request: HttpRequest) -> HttpResponse:
        bases = [value.decode("latin-1") for name, value in request.headers if name == b"base-version"]
        order = requests.configuration_order(kind, bases, request.body)
        process = OrderProcess(order)
        until = self._control.now() + ORDER_TIMEOUT_MS
        effect = process.begin()
        while not isinstance(effect, Respond):
            effect = await self._step(process, effect, until)
        self._control.log.event(
            "order", kind=kind.value, base=order.base, status=effect.status, **effect.body
        )
        return HttpResponse(
            effect.status, orjson.dumps(effect.body), RETRY_AFTER if effect.status == 503 else ()
        )

    async def _step(
        self, process: OrderProcess, effect: order_process.Effect, until: float
    ) -> order_process.Effect:
        control = self._control
        remaining_ms = max(0.0, until - control.now())
        match effect:
            case AskMajority():
                timeout_ms = min(remaining_ms, MAJORITY_TIMEOUT_MS)
                confirmed = timeout_ms > 0 and await control.confirm_majority(timeout_ms) and control.leads
                return process.majority_answered(control.state if confirmed else None)
            case Propose(state):
                outcome = await control.propose(state, remaining_ms)
                return process.proposal_ended(outcome, state.revision)
            case AwaitMembers(revision):
                all_applied = await control.configuration_applied()
                control.log.event("config_awaited", revision=revision, all_applied=all_applied)
                return process.members_awaited(revision)
        raise AssertionError(effect)

    async def _read_configuration(self, request: HttpRequest) -> HttpResponse:
        if not await self._control.confirm_majority(MAJORITY_TIMEOUT_MS):
            return refusal(503, order_process.NO_MAJORITY)
        if self._control.state.doc is None:
            return refusal(404, "there is no configuration yet")
        return HttpResponse(200, orjson.dumps(self._control.state.doc))

    # Retirement

    async def _retire(self, request: HttpRequest, node: str) -> HttpResponse:
        control = self._control
        requests.retirement(request.body)
        if not await control.confirm_state() or not control.leads:
            return refusal(503, "the core does not agree now")
        try:
            outcome = await control.retire(node)
        except RetirementRefusedError as refused:
            control.log.event("retire", store=node, status=refused.status, why=refused.reason)
            return refusal(refused.status, refused.reason)
        if outcome is Outcome.UNCLEAR:
            return refusal(504, "not known whether it is begun")
        if outcome is Outcome.NOT_LEADING:
            return refusal(503, "leads no more")
        control.log.event("retire", store=node, status=200)
        return HttpResponse(200, self._phase(node))

    async def _read_retirement(self, request: HttpRequest, node: str) -> HttpResponse:
        if not await self._control.confirm_state():
            return refusal(503, "the core does not agree now")
        if self._control.retirement_phase(node) is None:
            return refusal(404, "not being emptied")
        return HttpResponse(200, self._phase(node))

    def _phase(self, node: str) -> bytes:
        phase = self._control.retirement_phase(node)
        return orjson.dumps({"phase": phase.value} if phase is not None else {})
