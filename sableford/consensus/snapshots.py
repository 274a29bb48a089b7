"""Snapshots, and how a process without all entries fetches them (Ongaro's dissertation, chapter 5)."""

import msgspec

from sableford.consensus.constants import (
    FETCH_INTERVAL,
    FETCH_RETRY,
    FETCH_TRIES,
    OLD_SNAPSHOT_WINDOW,
    SNAPSHOT_ENTRIES,
    SNAPSHOT_KEEP_BYTES,
    SNAPSHOT_KEEP_ENTRIES,
    SNAPSHOT_LOG_BYTES,
    SNAPSHOT_LOG_IMAGES,
    SNAPSHOT_SERVED,
    SNAPSHOTS_SERVED,
)
from sableford.consensus.effects import AppendToLog, Effect, LogEvent, Send, SnapshotInstalled, TruncateLog
from sableford.consensus.messages import Entry, FetchRequest, FetchResponse, Kind, SnapshotChunk
from sableford.consensus.raft_state import FetchedSnapshot, RaftState, entry_size, learner
from sableford.consensus.state_machine import Snapshot


class Snapshots(RaftState):
    """Snapshots, learners."""

    def _compaction_due(self) -> bool:
        """Whether what was applied since the last snapshot is long enough for the next."""
        if self.state_machine.last - (self.snapshot.last if self.snapshot else 0) >= SNAPSHOT_ENTRIES:
            return True
        if self._applied_bytes < SNAPSHOT_LOG_BYTES:
            return False
        return self._applied_bytes >= SNAPSHOT_LOG_IMAGES * self.state_machine.size()

    def _compact(
        self, keep_entries: int = SNAPSHOT_KEEP_ENTRIES, keep_bytes: int = SNAPSHOT_KEEP_BYTES
    ) -> list[Effect]:
        """A snapshot in place of all but the last entries before it."""
        voters = self._voters_at(self.state_machine.last)
        snapshot = self.state_machine.snapshot(voters)
        self.snapshot, self._applied_bytes = snapshot, 0
        keep, size = snapshot.last + 1, 0
        least = max(self.first, keep - keep_entries)
        most = max(keep_bytes, self.state_machine.size()) if keep_bytes else 0
        while keep > least and (size := size + entry_size(self.at(keep - 1))) <= most:
            keep -= 1
        self._before = self.term_at(keep - 1)
        del self.entries[: keep - self.first]
        self.first = keep
        # The voters before the first kept entry are the snapshot's: those kept say so again.
        self._based = voters
        return self._persist(self._replace_log())

    def _adopt_snapshot(self, snapshot: Snapshot) -> None:
        """A snapshot read or fetched; entries after it stay where it is of the same past."""
        self.snapshot, self._applied_bytes = snapshot, 0
        self.state_machine.restore(snapshot)
        if self.term_at(snapshot.last) != snapshot.term:
            self.entries, self.first, self._before = [], snapshot.last + 1, snapshot.term
        self._based = dict(snapshot.voters)

    # Fetching

    def _fetch_if_due(self, now: float) -> list[Effect]:
        """The next fetch, where it is time for one."""
        names = self._peers()
        if now < self._pull_at or not names:
            return []
        under_way = self._fetching
        if under_way is not None and under_way.source in names and self._unanswered < FETCH_TRIES:
            return self._fetch(now, under_way.source)  # a snapshot under way is one process's
        # By chance, so that none is asked by all.
        return self._fetch(
            now, self._random.choice([name for name in names if name != self._source] or names)
        )

    def _fetch(self, now: float, source: str) -> list[Effect]:
        """What comes after all that is in force here, or the next pieces of a snapshot from that source."""
        self._unanswered = self._unanswered + 1 if source == self._source else 0
        self._source, self._asked_after = source, self.commit
        self._early.clear()
        under_way = self._fetching
        if under_way is None or under_way.source != source:
            self._pull_at = now + FETCH_INTERVAL * self._random.uniform(0.5, 1.5)
            return [Send(source, FetchRequest(self.id, self.commit))]
        self._pull_at = now + self._transport.fetch_retry
        under_way.asked_at = len(under_way.data)
        return [Send(source, FetchRequest(self.id, self.commit, under_way.last, under_way.asked_at))]

    def _handle_invitation(self, now: float, leader: str) -> list[Effect]:
        """A leader that this process does not vote for wants it up to date: perhaps it is to vote."""
        self.leader, self._led_at, self._due_at = leader, now, self._election_deadline(now)
        self._invited_at = now
        if self._fetching is not None or now < self._invited_fetch_at + FETCH_RETRY / 2.0:
            return []
        self._invited_fetch_at = now
        return self._fetch(now, leader)

    def newest(self, now: float, index: int) -> None:
        """Somebody has come further: a learner fetches at once."""
        if index > self.commit and not self._is_voter(self.name, self.id):
            self._pull_at = min(self._pull_at, now + FETCH_RETRY * self._random.random())

    # Serving those who fetch

    def _handle_fetch_request(self, now: float, sender: str, message: FetchRequest) -> list[Effect]:
        if self.leads:
            self._note_fetch(now, sender, message)
        if (follower := self._followers.get(sender)) is not None:
            follower.fetched_at = now
        if message.have < self.first - 1 and self.snapshot is not None:
            return self._serve_snapshot(now, sender, message)
        batches = self._batches(max(message.have + 1, self.first))
        through = batches[-1][0] + len(batches[-1][1]) - 1
        return [
            Send(sender, FetchResponse(self.term, first, self.commit, entries, self.leader, through))
            for first, entries in batches
        ]

    def _note_fetch(self, now: float, sender: str, message: FetchRequest) -> None:
        known = self._learners.get(sender)
        if known is None or known.id != message.id:
            known = learner(message.id, now, self.commit)
        self._learners[sender] = known.fetched(now, message.have, self._round_commit, self.commit)

    def _batches(self, first: int) -> list[tuple[int, tuple[Entry, ...]]]:
        """Agreed entries from `first` on, as many as go at once: the first index and entries of each
        message, at least one."""
        out: list[tuple[int, tuple[Entry, ...]]] = []
        while len(out) < self._transport.pieces and (first <= self.commit or not out):
            end, size = first, 0
            while end <= self.commit and (
                size == 0 or size + entry_size(self.at(end)) <= self._transport.batch_bytes
            ):
                size += entry_size(self.at(end))
                end += 1
            out.append((first, tuple(self.entries[first - self.first : end - self.first])))
            first = end
        return out

    def _serve_snapshot(self, now: float, sender: str, message: FetchRequest) -> list[Effect]:
        """The next pieces: of the snapshot that was begun, while it is held, else of the newest. Whoever
        fetches one is not made to start over by each new one."""
        held, start = self._served_snapshots, message.at
        last = message.snap
        if last not in held:
            last, start = self.snapshot.last, 0
        if last not in held:
            held[last] = msgspec.msgpack.encode(self.snapshot), now
        blob, _ = held.pop(last)
        held[last] = blob, now
        self._served_snapshots = dict(list(held.items())[-SNAPSHOTS_SERVED:])
        size = self._transport.piece_bytes
        through = min(len(blob), start + size * self._transport.pieces)
        return [
            Send(sender, SnapshotChunk(last, at, len(blob), blob[at : min(at + size, through)], through))
            for at in range(start, through, size)
        ]

    def _forget_served(self, now: float) -> None:
        self._served_snapshots = {
            last: (data, used)
            for last, (data, used) in self._served_snapshots.items()
            if now - used <= SNAPSHOT_SERVED
        }

    # What was fetched

    def _handle_fetch_response(self, now: float, sender: str, message: FetchResponse) -> list[Effect]:
        """Agreed on, so it is taken as it stands. A voter's log is its leader's business; but one without a
        leader, or that its leader does not name, may have been replaced, and learns it so."""
        votes = self._is_voter(self.name, self.id)
        invited = now - self._invited_at <= FETCH_INTERVAL
        if self.leads or (votes and not invited and not self._leaderless(now)):
            return []
        if message.first > self.commit + 1:  # another of the same answer is late, or lost
            if len(self._early) < self._transport.pieces:
                self._early[message.first] = message
            self._pull_at = min(self._pull_at, now + FETCH_RETRY)
            return []
        self.leader, self._unanswered = self.leader if votes else message.leader, 0
        out, follows, agreed = [], message, self.commit
        while follows is not None:
            out += self._take_agreed(follows)
            follows = self._early.pop(self.commit + 1, None)
        if self.commit > agreed:
            self._fetching = None  # entries will do
        if message.commit <= self.commit:
            return out
        if self.commit >= message.through > 0 and self.commit > self._asked_after:
            return out + self._fetch(now, sender)
        self._pull_at = min(self._pull_at, now + (FETCH_RETRY if message.through else 0.0))
        return out

    def _take_agreed(self, message: FetchResponse) -> list[Effect]:
        writes: list = []
        for index, entry in enumerate(message.entries, message.first):
            if index <= self.commit or self.term_at(index) == entry.term:
                continue
            if index <= self.last:  # from a leader of before, and never agreed on
                del self.entries[index - self.first :]
                writes.append(TruncateLog(index - 1))
                self.durable = min(self.durable, index - 1)
            self.entries.append(entry)
            writes.append(AppendToLog(index, entry))
        out = self._persist(*writes) if writes else []
        if any(isinstance(write, TruncateLog) or write.entry.kind == Kind.VOTERS for write in writes):
            self._set_voters()
        told = message.first + len(message.entries) - 1
        return out + self._apply_committed(min(told, message.commit)) if told > self.commit else out

    def _handle_snapshot_chunk(self, now: float, sender: str, message: SnapshotChunk) -> list[Effect]:
        if message.last <= self.commit or not 0 <= message.at < message.of or sender != self._source:
            return []
        self._unanswered = 0
        one = self._fetching
        if one is None or (one.source, one.last, one.size) != (sender, message.last, message.of):
            if message.at:  # late, of one that was given up
                return []
            one = self._fetching = FetchedSnapshot(sender, message.last, message.of)
        one.take(message.at, message.data)
        if len(one.data) >= one.size:
            return self._install_snapshot(now, one)
        self._pull_at = now + self._transport.fetch_retry
        over = (
            len(one.data) >= message.through if message.through else len(one.data) % OLD_SNAPSHOT_WINDOW == 0
        )
        return self._fetch(now, sender) if over and len(one.data) > one.asked_at else []

    def _install_snapshot(self, now: float, fetched: FetchedSnapshot) -> list[Effect]:
        """A whole snapshot in place of what it covers; it counts as held once it is on disk."""
        self._fetching = None
        try:
            snapshot = msgspec.msgpack.decode(bytes(fetched.data), type=Snapshot)
        except msgspec.MsgspecError:
            return [LogEvent("record_snapshot_spoilt", {"from": fetched.source})]
        agreed = self.commit
        self._adopt_snapshot(snapshot)
        if not self.entries:  # nothing of what was on disk is part of it any more
            self.durable = min(self.durable, agreed)
        self.commit = self.state_machine.last
        self._voters = self._latest_voters()
        out = self._persist(self._replace_log())
        out += [
            LogEvent("record_snapshot", {"from": fetched.source, "last": snapshot.last}),
            SnapshotInstalled(snapshot.last),
            *self._finish_reads(),
        ]
        return out if self._is_voter(self.name, self.id) else out + self._fetch(now, fetched.source)
