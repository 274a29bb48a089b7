"""Failure detector and membership dissemination of one process.

Decides which member to probe, when to suspect it or declare it dead, and which updates of other members to
apply. It performs no I/O and reads no clock: callers pass the time and carry out the returned effects.

Follows SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017), with one addition: a
process that learns of a suspicion probes the suspect next, so that it is confirmed or refuted within one
probe interval.
"""

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log, log2, log10
from random import Random
from typing import NamedTuple
from zlib import crc32

from sableford.fleet.membership.messages import (
    Ack,
    MembershipMessage,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    State,
    Sync,
)

PROBE_INTERVAL_MS = 200.0  # between probes: three intervals and a suspicion take under 2 s with six members
PROBE_TIMEOUT_MS = 70.0  # before an indirect probe is sent: about ten round trips
INDIRECT_PROBES = 3  # members asked for an indirect probe; the value that SWIM and Lifeguard use
MIN_SUSPICION_MS = 1000.0  # at least: a process that paused for a second has time to refute
MAX_SUSPICION_FACTOR = 3.0  # the time-out of an unconfirmed suspicion is this many times the minimum
MAX_CONFIRMATIONS = 3  # confirmations that reduce the time-out to the minimum
MAX_HEALTH_SCORE = 8  # of Lifeguard's local health; the value that Lifeguard uses
MAX_LOSS_SCORE = 3  # message loss extends suspicions up to four times; longer would hide dead members
ACKS_PER_LOSS_STEP = 4  # consecutive acknowledgements of direct probes that lower the loss score by one
MAX_PIGGYBACKED = 6  # updates piggybacked on one message: 300 bytes
RETRANSMIT_FACTOR = 3  # times log2 of the number of members: how often an update is passed on; SWIM's lambda
SYNC_INTERVAL = 10  # probe intervals between two exchanges with a random member
MAX_SYNC_UPDATES = 16  # updates in one message, so that its size does not grow with the fleet
DIGEST_BUCKETS = 16  # of names, each with a digest: 80 bytes show which part of two views differs
DUPLICATE_AFTER_MS = 1000.0  # no datagram is delayed for so long after its process was replaced
FORGET_AFTER_MS = 60_000.0  # until then an old update cannot revive a member that died or left
MAX_MEMBERS = 4096  # bounds the memory that a faulty or malicious sender can use


class Member:
    """Another member as this process knows it."""

    __slots__ = (
        "address",
        "commit",
        "first_heard",
        "incarnation",
        "name",
        "previous_process",
        "process_id",
        "since",
        "state",
        "suspected_by",
    )

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address
        self.process_id, self.incarnation, self.state = 0, -1, State.DEAD  # no update received yet
        self.since = 0.0  # time of the last change of `state`
        self.suspected_by: set[str] = set()  # names of the members that suspect it
        self.first_heard: dict[int, float] = {}  # by process: time of its first message
        self.previous_process = 0  # process before the present one
        self.commit = 0  # commit index of its log, as it reports


class Send(NamedTuple):
    """Effect: send a message to a member."""

    to: str
    address: str
    message: MembershipMessage


class StateChanged(NamedTuple):
    """Effect: a member's state has changed. `why` is the reason for the log."""

    name: str
    state: State
    process_id: int
    why: str


class DuplicateName(NamedTuple):
    """Effect: two processes use the same name."""

    name: str
    process_ids: tuple[int, int]


Effect = Send | StateChanged | DuplicateName


class _Probe:
    __slots__ = ("helpers", "incarnation", "nacks", "name", "number")

    def __init__(self, name: str, number: int, incarnation: int) -> None:
        self.name, self.number, self.incarnation = name, number, incarnation
        self.helpers: set[str] = set()
        self.nacks: set[str] = set()


class Membership:
    """Membership as one process sees it.

    Call `tick` at `due` or soon after, `handle_message` for each message, and `leave` once before the process
    ends.
    """

    def __init__(
        self, name: str, process_id: int, address: str, peers: dict[str, str], now: float, seed: int
    ) -> None:
        """`peers`: addresses of the configured members by name; a new process can join through any."""
        self.name, self.process_id, self.address, self.incarnation = name, process_id, address, 0
        self._random = Random(f"{name} {process_id} {seed}")
        self.others = {peer: Member(peer, at) for peer, at in peers.items() if peer != name}
        self._configured = dict(peers)
        self.commit = 0  # commit index of the own log
        self.health_score = 0  # Lifeguard's local health: 0 is healthy
        self._loss_score = self._direct_acks = 0  # `_direct_acks`: consecutive acks of direct probes
        self._last_number = 0
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._indirect_at = 0.0  # when the indirect probe is sent
        self._next_probe_at = now + self._random.random() * PROBE_INTERVAL_MS
        self._periods = 0
        # Probes for others by own number: requester, its number, deadline.
        self._relayed: dict[int, tuple[str, int, float]] = {}
        self._suspects: dict[str, Member] = {}
        self._sent_counts: dict[str, int] = {}  # updates to pass on, by name: how often each was sent
        self._new_suspects: list[str] = []
        self._has_left = False
        self.due = now
        self._joined = False

    # View

    def alive(self) -> list[str]:
        """Names of the members that messages are sent to, suspected ones included."""
        return [
            member.name for member in self.others.values() if member.state in (State.ALIVE, State.SUSPECT)
        ]

    def health_factor(self) -> float:
        """By which factor time-outs are extended while this process is itself slow."""
        return 1.0 + self.health_score

    def _update_of(self, member: Member) -> MemberUpdate:
        by = self.name if self.name in member.suspected_by else min(member.suspected_by, default="")
        return MemberUpdate(
            member.name, member.process_id, member.incarnation, member.state, member.address, by
        )

    def _own_update(self) -> MemberUpdate:
        state = State.LEFT if self._has_left else State.ALIVE
        return MemberUpdate(self.name, self.process_id, self.incarnation, state, self.address)

    # Input

    def tick(self, now: float) -> list[Effect]:
        """Does what is due. A late tick counts against this process, not against other members."""
        effects: list[Effect] = []
        late = now - self.due
        if late > PROBE_TIMEOUT_MS:
            self._extend_deadlines(late)
            self._adjust_health(1)
        if not self._joined:
            self._joined = True
            effects += self._send_sync(self.others, True)
        probe = self._probe
        if probe is not None and not probe.helpers and now >= self._indirect_at:
            effects += self._probe_indirectly(probe)
        if now >= self._next_probe_at:
            effects += self._end_probe(now)
            self._next_probe_at = now + PROBE_INTERVAL_MS * self.health_factor()
            self._periods += 1
            effects += self._start_probe(now)
            if self._periods % SYNC_INTERVAL == 0:
                effects += self._send_sync(self._sample(self.alive(), 1), False)
                self._forget_members(now)
        effects += self._expire_suspicions(now)
        for number, (requester, their_number, until) in list(self._relayed.items()):
            if now >= until:
                del self._relayed[number]
                if (member := self.others.get(requester)) is not None:
                    effects.append(
                        Send(requester, member.address, Nack(their_number, self._piggyback(requester)))
                    )
        self.due = self._due()
        return effects

    def handle_message(
        self, now: float, sender: str, process_id: int, message: MembershipMessage
    ) -> list[Effect]:
        """Handles a message of another member; its content is not trusted."""
        effects: list[Effect] = []
        if sender == self.name:
            if process_id != self.process_id:
                effects.append(
                    DuplicateName(
                        self.name, (min(process_id, self.process_id), max(process_id, self.process_id))
                    )
                )
            return effects
        member = self._find_or_add(sender)
        if member is None:
            return effects
        effects += self._detect_duplicate(now, member, process_id)
        for update in message.updates[: MAX_PIGGYBACKED + MAX_SYNC_UPDATES + 1]:
            effects += self._apply_update(now, update, sender)
        match message:
            case Ping(number):
                effects.append(
                    Send(sender, member.address, Ack(number, self._piggyback(sender), self.commit))
                )
                member.commit = message.commit
            case Ack(number):
                member.commit = message.commit
                effects += self._handle_ack(sender, number)
            case PingRequest(number, target=target):
                if (other := self.others.get(target)) is not None:
                    self._last_number += 1
                    self._relayed[self._last_number] = sender, number, now + PROBE_TIMEOUT_MS
                    effects.append(Send(target, other.address, self._ping(target)))
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks.add(sender)
            case Sync() if not message.is_answer:
                effects += self._answer_sync(sender, member, message)
        self.due = min(self.due, self._due())
        return effects

    def leave(self) -> list[Effect]:
        """Announces once to all live members that this process leaves; they pass it on."""
        self._has_left = True
        self.incarnation += 1
        self._last_number += 1
        return [
            Send(name, self.others[name].address, Ping(self._last_number, (self._own_update(),)))
            for name in self.alive()
        ]

    # Probes

    def _due(self) -> float:
        times = [self._next_probe_at, *(until for _, _, until in self._relayed.values())]
        if self._probe is not None and not self._probe.helpers:
            times.append(self._indirect_at)
        times += [self._suspicion_deadline(member) for member in self._suspects.values()]
        return min(times)

    def _extend_deadlines(self, late: float) -> None:
        """Extends all deadlines after a pause of this process, which could not receive answers then."""
        self._next_probe_at += late
        self._indirect_at += late
        self._relayed.clear()
        if self._probe is not None:
            self._probe = None
        for member in self._suspects.values():
            member.since += late

    def _adjust_health(self, by: int) -> None:
        self.health_score = max(0, min(MAX_HEALTH_SCORE, self.health_score + by))

    def _ping(self, to: str) -> Ping:
        return Ping(self._last_number, self._piggyback(to), self.commit)

    def _start_probe(self, now: float) -> list[Effect]:
        """Starts the next probe: new suspects first, else the next member in a shuffled round."""
        name = ""
        while self._new_suspects and not name:
            suspect = self._new_suspects.pop(0)
            if suspect in self.others and self.others[suspect].state is State.SUSPECT:
                name = suspect
        while not name:
            if not self._probe_order:
                # One configured member that is dead or has left is included: a partition may have healed.
                self._probe_order = self.alive()
                gone = [
                    member
                    for member in self._configured
                    if member in self.others and member not in self._probe_order
                ]
                self._probe_order += self._sample(gone, 1)
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return []
            name = self._probe_order.pop()
            if name not in self.others:
                name = ""
        self._last_number += 1
        member = self.others[name]
        self._probe = _Probe(name, self._last_number, self.others[name].incarnation)
        self._indirect_at = now + PROBE_TIMEOUT_MS * self.health_factor()
        return [Send(name, member.address, self._ping(name))]

    def _probe_indirectly(self, probe: _Probe) -> list[Effect]:
        helpers = self._sample([name for name in self.alive() if name != probe.name], INDIRECT_PROBES)
        probe.helpers = set(helpers) or {probe.name}
        requests = [
            Send(
                name, self.others[name].address, PingRequest(probe.number, self._piggyback(name), probe.name)
            )
            for name in helpers
        ]
        # And directly once more: a single lost datagram is the most likely cause.
        return [*requests, Send(probe.name, self.others[probe.name].address, self._ping(probe.name))]

    def _handle_ack(self, sender: str, number: int) -> list[Effect]:
        probe = self._probe
        if probe is not None and probe.number == number and sender in (probe.name, *probe.helpers):
            self._probe = None
            self._adjust_health(-1)
            # An ack after an indirect probe indicates message loss, which can affect a refutation too.
            self._direct_acks = 0 if probe.helpers else self._direct_acks + 1
            if probe.helpers:
                self._loss_score = min(MAX_LOSS_SCORE, self._loss_score + 1)
            elif self._direct_acks % ACKS_PER_LOSS_STEP == 0:
                self._loss_score = max(0, self._loss_score - 1)
        if (relayed := self._relayed.pop(number, None)) is not None:
            requester, their_number, _ = relayed
            if (member := self.others.get(requester)) is not None:
                return [
                    Send(
                        requester, member.address, Ack(their_number, self._piggyback(requester), self.commit)
                    )
                ]
        return []

    def _end_probe(self, now: float) -> list[Effect]:
        """Ends the probe interval: suspects the probed member if it has not acknowledged."""
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        member = self.others.get(probe.name)
        if member is None or member.state not in (State.ALIVE, State.SUSPECT):
            return []
        if member.incarnation != probe.incarnation:  # it has refuted or rejoined meanwhile
            return []
        # No helper answered, not even negatively: the fault is more likely local.
        self._adjust_health(len(probe.helpers - {probe.name}) > 0 and not probe.nacks)
        return self._suspect(now, member, self.name)

    # Suspicion

    def _suspect(self, now: float, member: Member, by: str) -> list[Effect]:
        first = member.state is State.ALIVE
        if first:
            member.state, member.since, member.suspected_by = State.SUSPECT, now, set()
            self._suspects[member.name] = member
        if by in member.suspected_by:
            return []
        member.suspected_by.add(by)
        self._sent_counts[member.name] = 0
        if first and by != self.name:
            self._new_suspects.append(member.name)
        return (
            [StateChanged(member.name, State.SUSPECT, member.process_id, f"suspected by {by}")]
            if first
            else []
        )

    def _suspicion_deadline(self, member: Member) -> float:
        """When the suspect is declared dead: the earlier, the more members confirm the suspicion."""
        slowness = self.health_factor() + self._loss_score
        minimum = MIN_SUSPICION_MS * max(1.0, log10(len(self.others) + 1)) * slowness
        required = max(1, min(MAX_CONFIRMATIONS, len(self.others) - 2))
        confirmed = min(required, len(member.suspected_by) - 1)
        fraction = log(confirmed + 1) / log(required + 1)
        return member.since + minimum * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * fraction)

    def _expire_suspicions(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for member in list(self._suspects.values()):
            if now >= self._suspicion_deadline(member):
                effects += self._mark_gone(
                    now, member, State.DEAD, f"suspected by {', '.join(sorted(member.suspected_by))}"
                )
        return effects

    def _forget_members(self, now: float) -> None:
        """Forgets members that died or left long ago; configured ones are kept, as they may return."""
        for member in list(self.others.values()):
            gone = member.state in (State.DEAD, State.LEFT) and now - member.since > FORGET_AFTER_MS
            if gone and member.name not in self._configured:
                del self.others[member.name]

    def _mark_gone(self, now: float, member: Member, state: State, why: str) -> list[Effect]:
        member.state, member.since, member.suspected_by = state, now, set()
        self._suspects.pop(member.name, None)
        self._sent_counts[member.name] = 0
        return [StateChanged(member.name, state, member.process_id, why)]

    # Updates

    def _find_or_add(self, name: str) -> Member | None:
        member = self.others.get(name)
        if member is None and len(self.others) < MAX_MEMBERS:
            member = self.others[name] = Member(name, self._configured.get(name, ""))
        return member

    def _detect_duplicate(self, now: float, member: Member, process_id: int) -> list[Effect]:
        """Records which process of the name sent a message, to detect two that run at once."""
        known = process_id in member.first_heard
        member.first_heard.setdefault(process_id, now)
        if len(member.first_heard) > 1 and known:
            latest, other = max(
                (at, other) for other, at in member.first_heard.items() if other != process_id
            )
            if latest > member.first_heard[process_id] and now - latest > DUPLICATE_AFTER_MS:
                member.first_heard = {process_id: now}
                return [DuplicateName(member.name, (min(process_id, other), max(process_id, other)))]
        if len(member.first_heard) > 4:
            member.first_heard = {process_id: now}
        return []

    def _apply_update(self, now: float, update: MemberUpdate, sender: str) -> list[Effect]:
        if update.state not in list(State):
            return []
        if update.name == self.name:
            return self._refute(update, sender)
        member = self._find_or_add(update.name)
        if member is None or (update.incarnation, update.state) < (member.incarnation, member.state):
            return []
        if (update.incarnation, update.state) == (member.incarnation, member.state):
            if update.state == State.SUSPECT and update.suspected_by:
                return self._suspect(now, member, update.suspected_by)
            return []
        is_new_process = update.process_id != member.process_id
        is_later = update.incarnation > member.incarnation
        before, member.incarnation = member.state, update.incarnation
        if is_new_process:
            member.previous_process, member.process_id = member.process_id, update.process_id
        if update.address and update.name not in self._configured:
            member.address = update.address
        self._sent_counts[member.name] = 0
        match State(update.state):
            case State.ALIVE:
                member.state, member.suspected_by = State.ALIVE, set()
                self._suspects.pop(member.name, None)
                if before is State.ALIVE and not is_new_process:
                    return []
                member.since = now
                why = "a new process" if is_new_process else "alive again"
                return [StateChanged(member.name, State.ALIVE, member.process_id, why)]
            case State.SUSPECT:
                if before is not State.SUSPECT or is_later:
                    member.state = State.ALIVE
                return self._suspect(now, member, update.suspected_by or sender)
            case state:
                return self._mark_gone(now, member, state, f"reported by {sender}")

    def _refute(self, update: MemberUpdate, sender: str) -> list[Effect]:
        """Handles an update on this process itself: any state but alive is refuted by a later incarnation."""
        if update.process_id == self.process_id and update.state == State.ALIVE:
            self.incarnation = max(self.incarnation, update.incarnation)
            return []
        if update.incarnation < self.incarnation or self._has_left:
            return []
        self.incarnation = update.incarnation + 1
        if update.process_id == self.process_id:
            self._adjust_health(1)  # it was too slow to answer in time
        recipients = {
            sender,
            update.suspected_by,
            *self._sample(self.alive(), INDIRECT_PROBES),
        } & self.others.keys()
        self._last_number += 1
        return [
            Send(name, self.others[name].address, Ping(self._last_number, (self._own_update(),), self.commit))
            for name in sorted(recipients)
        ]

    # Dissemination

    def _piggyback(self, to: str) -> tuple[MemberUpdate, ...]:
        """Updates sent along with a message: its own, the recipient's unless alive, then those least sent."""
        limit = RETRANSMIT_FACTOR * ceil(log2(len(self.others) + 2))
        updates = [self._own_update()]
        member = self.others.get(to)
        if member is not None and member.state is not State.ALIVE and member.incarnation >= 0:
            updates.append(self._update_of(member))  # so that the recipient can refute it
        for name in nsmallest(MAX_PIGGYBACKED, self._sent_counts, key=self._sent_counts.get):
            self._sent_counts[name] += 1
            if name != to and name in self.others:
                updates.append(self._update_of(self.others[name]))
            if self._sent_counts[name] >= limit:
                del self._sent_counts[name]
        return tuple(updates)

    def _sample(self, names: Iterable, limit: int) -> list:
        names = list(names)
        return names if len(names) <= limit else self._random.sample(names, limit)

    def _send_sync(self, names: Iterable[str], join: bool) -> list[Effect]:
        """Exchanges views with other members, which repairs the loss of updates."""
        self._last_number += 1
        message = Sync(self._last_number, (self._own_update(),), () if join else tuple(self._digests()))
        chosen = self._sample(names, INDIRECT_PROBES) if join else names
        return [Send(name, self.others[name].address, message) for name in chosen]

    def _digests(self) -> list[int]:
        """One digest per bucket of names; equal where two views agree on all members in it."""
        digests = [0] * DIGEST_BUCKETS
        held = [(member.name, member.incarnation, member.state) for member in self.others.values()]
        for name, incarnation, state in (*held, (self.name, self.incarnation, self._own_update().state)):
            if incarnation >= 0 and state != State.LEFT:
                digests[_bucket(name)] ^= crc32(f"{name} {incarnation} {int(state)}".encode())
        return digests

    def _answer_sync(self, sender: str, member: Member, message: Sync) -> list[Effect]:
        """Answers a joining member with the whole view in several messages, any other with a sample of the
        buckets that differ."""
        known = [other for other in self.others.values() if other.incarnation >= 0]
        if len(message.digests) == DIGEST_BUCKETS:
            own = self._digests()
            differs = {at for at in range(DIGEST_BUCKETS) if own[at] != message.digests[at]}
            known = self._sample(
                (other for other in known if _bucket(other.name) in differs), MAX_SYNC_UPDATES
            )
        updates = [self._own_update(), *map(self._update_of, known)]
        parts = [
            tuple(updates[at : at + MAX_SYNC_UPDATES]) for at in range(0, len(updates), MAX_SYNC_UPDATES)
        ]
        return [Send(sender, member.address, Sync(message.number, part, is_answer=True)) for part in parts]


def _bucket(name: str) -> int:
    return crc32(name.encode()) % DIGEST_BUCKETS
