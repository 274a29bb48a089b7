"""Log compaction, and catching up by fetching entries and snapshots (Ongaro's dissertation, chapter 5)."""

import msgspec

from sableford.consensus.constants import (
    FETCH_INTERVAL,
    FETCH_RETRY,
    LEGACY_SNAPSHOT_WINDOW,
    MAX_CACHED_SNAPSHOTS,
    MAX_UNANSWERED_FETCHES,
    SNAPSHOT_CACHE_MS,
    SNAPSHOT_ENTRIES,
    SNAPSHOT_KEEP_BYTES,
    SNAPSHOT_KEEP_ENTRIES,
    SNAPSHOT_LOG_BYTES,
    SNAPSHOT_LOG_RATIO,
)
from sableford.consensus.effects import AppendToLog, Effect, LogEvent, Send, SnapshotInstalled, TruncateLog
from sableford.consensus.messages import Entry, FetchRequest, FetchResponse, Kind, SnapshotChunk
from sableford.consensus.raft_state import RaftState, SnapshotTransfer, entry_size, learner
from sableford.consensus.state_machine import Snapshot


class Snapshots(RaftState):
    """Makes, serves and fetches snapshots; learners fetch committed entries."""

    def _compaction_due(self) -> bool:
        """Whether enough was applied since the last snapshot to make the next."""
        if self.state_machine.last - (self.snapshot.last if self.snapshot else 0) >= SNAPSHOT_ENTRIES:
            return True
        if self._applied_bytes < SNAPSHOT_LOG_BYTES:
            return False
        return self._applied_bytes >= SNAPSHOT_LOG_RATIO * self.state_machine.size()

    def _compact(
        self, keep_entries: int = SNAPSHOT_KEEP_ENTRIES, keep_bytes: int = SNAPSHOT_KEEP_BYTES
    ) -> list[Effect]:
        """Replaces the log with a snapshot and the last entries before it."""
        voters = self._voters_at(self.state_machine.last)
        snapshot = self.state_machine.snapshot(voters)
        self.snapshot, self._applied_bytes = snapshot, 0
        keep, size = snapshot.last + 1, 0
        least = max(self.first, keep - keep_entries)
        most = max(keep_bytes, self.state_machine.size()) if keep_bytes else 0
        while keep > least and (size := size + entry_size(self.entry_at(keep - 1))) <= most:
            keep -= 1
        self._term_before_first = self.term_at(keep - 1)
        del self.entries[: keep - self.first]
        self.first = keep
        # Entries kept before the snapshot that change voters lead to the snapshot's voters again.
        self._base_voters = voters
        return self._persist(self._replace_log())

    def _adopt_snapshot(self, snapshot: Snapshot) -> None:
        """Restores a snapshot that was read or fetched; entries after it stay if the log agrees with it."""
        self.snapshot, self._applied_bytes = snapshot, 0
        self.state_machine.restore(snapshot)
        if self.term_at(snapshot.last) != snapshot.term:
            self.entries, self.first, self._term_before_first = [], snapshot.last + 1, snapshot.term
        self._base_voters = dict(snapshot.voters)

    # Fetching

    def _fetch_if_due(self, now: float) -> list[Effect]:
        """Sends the next fetch if it is due."""
        names = self._peers()
        if now < self._next_fetch_at or not names:
            return []
        transfer = self._fetching
        if (
            transfer is not None
            and transfer.source in names
            and self._unanswered_fetches < MAX_UNANSWERED_FETCHES
        ):
            return self._fetch(now, transfer.source)  # a snapshot is fetched from one process
        # At random, so that not all ask the same process.
        return self._fetch(
            now, self._random.choice([name for name in names if name != self._fetch_source] or names)
        )

    def _fetch(self, now: float, source: str) -> list[Effect]:
        """Requests the entries after the commit index, or the next chunks of a snapshot from that source."""
        self._unanswered_fetches = self._unanswered_fetches + 1 if source == self._fetch_source else 0
        self._fetch_source, self._requested_after = source, self.commit
        self._early.clear()
        transfer = self._fetching
        if transfer is None or transfer.source != source:
            self._next_fetch_at = now + FETCH_INTERVAL * self._random.uniform(0.5, 1.5)
            return [Send(source, FetchRequest(self.id, self.commit))]
        self._next_fetch_at = now + self._transport.fetch_retry
        transfer.asked_at = len(transfer.data)
        return [Send(source, FetchRequest(self.id, self.commit, transfer.last, transfer.asked_at))]

    def _handle_learner_heartbeat(self, now: float, leader: str) -> list[Effect]:
        """Fetches on the heartbeat of a leader that does not count this process as a voter, but may soon."""
        self.leader, self._leader_heard_at, self._election_due_at = leader, now, self._election_deadline(now)
        self._learner_heartbeat_at = now
        if self._fetching is not None or now < self._prompted_fetch_at + FETCH_RETRY / 2.0:
            return []
        self._prompted_fetch_at = now
        return self._fetch(now, leader)

    def handle_commit_hint(self, now: float, index: int) -> None:
        """Another process has committed up to `index`: a learner that is behind fetches soon."""
        if index > self.commit and not self._is_voter(self.name, self.id):
            self._next_fetch_at = min(self._next_fetch_at, now + FETCH_RETRY * self._random.random())

    # Serving fetches

    def _handle_fetch_request(self, now: float, sender: str, message: FetchRequest) -> list[Effect]:
        if self.is_leader:
            self._note_fetch(now, sender, message)
        if (follower := self._followers.get(sender)) is not None:
            follower.last_fetch_at = now
        if message.after < self.first - 1 and self.snapshot is not None:
            return self._send_snapshot(now, sender, message)
        batches = self._batches(max(message.after + 1, self.first))
        through = batches[-1][0] + len(batches[-1][1]) - 1
        return [
            Send(sender, FetchResponse(self.term, first, self.commit, entries, self.leader, through))
            for first, entries in batches
        ]

    def _note_fetch(self, now: float, sender: str, message: FetchRequest) -> None:
        known = self._learners.get(sender)
        if known is None or known.id != message.id:
            known = learner(message.id, now, self.commit)
        self._learners[sender] = known.fetched(now, message.after, self._round_commit, self.commit)

    def _batches(self, first: int) -> list[tuple[int, tuple[Entry, ...]]]:
        """Committed entries from `first` on, as many as one response holds: the first index and entries of
        each message, at least one message."""
        batches: list[tuple[int, tuple[Entry, ...]]] = []
        while len(batches) < self._transport.pieces and (first <= self.commit or not batches):
            end, size = first, 0
            while end <= self.commit and (
                size == 0 or size + entry_size(self.entry_at(end)) <= self._transport.batch_bytes
            ):
                size += entry_size(self.entry_at(end))
                end += 1
            batches.append((first, tuple(self.entries[first - self.first : end - self.first])))
            first = end
        return batches

    def _send_snapshot(self, now: float, sender: str, message: FetchRequest) -> list[Effect]:
        """The next chunks of the snapshot whose transfer has begun, while it is cached, else of the newest. A
        new snapshot thus does not make a transfer start over."""
        held, start = self._snapshot_cache, message.offset
        last = message.snapshot
        if last not in held:
            last, start = self.snapshot.last, 0
        if last not in held:
            held[last] = msgspec.msgpack.encode(self.snapshot), now
        blob, _ = held.pop(last)
        held[last] = blob, now
        self._snapshot_cache = dict(list(held.items())[-MAX_CACHED_SNAPSHOTS:])
        size = self._transport.piece_bytes
        through = min(len(blob), start + size * self._transport.pieces)
        return [
            Send(sender, SnapshotChunk(last, at, len(blob), blob[at : min(at + size, through)], through))
            for at in range(start, through, size)
        ]

    def _expire_snapshot_cache(self, now: float) -> None:
        self._snapshot_cache = {
            last: (data, used)
            for last, (data, used) in self._snapshot_cache.items()
            if now - used <= SNAPSHOT_CACHE_MS
        }

    # Fetched data

    def _handle_fetch_response(self, now: float, sender: str, message: FetchResponse) -> list[Effect]:
        """Takes committed entries as they are. A voter normally gets entries from its leader alone; without
        a leader, or if the leader does not count it, it may have been replaced, and learns so here."""
        votes = self._is_voter(self.name, self.id)
        invited = now - self._learner_heartbeat_at <= FETCH_INTERVAL
        if self.is_leader or (votes and not invited and not self._leaderless(now)):
            return []
        if message.first > self.commit + 1:  # an earlier message of the response is late or lost
            if len(self._early) < self._transport.pieces:
                self._early[message.first] = message
            self._next_fetch_at = min(self._next_fetch_at, now + FETCH_RETRY)
            return []
        self.leader, self._unanswered_fetches = self.leader if votes else message.leader, 0
        effects, follows, commit_before = [], message, self.commit
        while follows is not None:
            effects += self._append_fetched(follows)
            follows = self._early.pop(self.commit + 1, None)
        if self.commit > commit_before:
            self._fetching = None  # a snapshot is no longer needed
        if message.commit <= self.commit:
            return effects
        if self.commit >= message.through > 0 and self.commit > self._requested_after:
            return effects + self._fetch(now, sender)
        self._next_fetch_at = min(self._next_fetch_at, now + (FETCH_RETRY if message.through else 0.0))
        return effects

    def _append_fetched(self, message: FetchResponse) -> list[Effect]:
        writes: list = []
        for index, entry in enumerate(message.entries, message.first):
            if index <= self.commit or self.term_at(index) == entry.term:
                continue
            if index <= self.last:  # from an earlier leader, never committed
                del self.entries[index - self.first :]
                writes.append(TruncateLog(index - 1))
                self.durable = min(self.durable, index - 1)
            self.entries.append(entry)
            writes.append(AppendToLog(index, entry))
        effects = self._persist(*writes) if writes else []
        if any(isinstance(write, TruncateLog) or write.entry.kind == Kind.VOTERS for write in writes):
            self._set_voters()
        last = message.first + len(message.entries) - 1
        return effects + self._apply_committed(min(last, message.commit)) if last > self.commit else effects

    def _handle_snapshot_chunk(self, now: float, sender: str, message: SnapshotChunk) -> list[Effect]:
        if (
            message.last <= self.commit
            or not 0 <= message.offset < message.size
            or sender != self._fetch_source
        ):
            return []
        self._unanswered_fetches = 0
        transfer = self._fetching
        if transfer is None or (transfer.source, transfer.last, transfer.size) != (
            sender,
            message.last,
            message.size,
        ):
            if message.offset:  # a late chunk of an abandoned transfer
                return []
            transfer = self._fetching = SnapshotTransfer(sender, message.last, message.size)
        transfer.take(message.offset, message.data)
        if len(transfer.data) >= transfer.size:
            return self._install_snapshot(now, transfer)
        self._next_fetch_at = now + self._transport.fetch_retry
        is_response_complete = (
            len(transfer.data) >= message.through
            if message.through
            else len(transfer.data) % LEGACY_SNAPSHOT_WINDOW == 0
        )
        return (
            self._fetch(now, sender)
            if is_response_complete and len(transfer.data) > transfer.asked_at
            else []
        )

    def _install_snapshot(self, now: float, fetched: SnapshotTransfer) -> list[Effect]:
        """Installs a complete snapshot; it counts as durable once it is on disk."""
        self._fetching = None
        try:
            snapshot = msgspec.msgpack.decode(bytes(fetched.data), type=Snapshot)
        except msgspec.MsgspecError:
            return [LogEvent("record_snapshot_spoilt", {"from": fetched.source})]
        commit_before = self.commit
        self._adopt_snapshot(snapshot)
        if not self.entries:  # nothing on disk continues the snapshot
            self.durable = min(self.durable, commit_before)
        self.commit = self.state_machine.last
        self._voters = self._latest_voters()
        effects = self._persist(self._replace_log())
        effects += [
            LogEvent("record_snapshot", {"from": fetched.source, "last": snapshot.last}),
            SnapshotInstalled(snapshot.last),
            *self._finish_reads(),
        ]
        return effects if self._is_voter(self.name, self.id) else effects + self._fetch(now, fetched.source)
