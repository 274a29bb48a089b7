"""File format of the replicated log: entries, terms and votes in files, and recovery of damaged folders.

Recovery (`recover`) is a function of the files' contents, without I/O. An incomplete last record was never
acknowledged, unless the mark file says that it had been flushed. A bad record before that is damage: what
followed it counts as lost, not as never written.

A folder holds `log-N` (a header, then a record for each term and vote, entry and truncation), `image-N` (the
snapshot that the log continues, if any) and `mark` (how far the log was flushed when it was last written).
"""

import os
from collections.abc import Iterable
from struct import Struct

import google_crc32c
import msgspec

from sableford.consensus.effects import AppendToLog, HardState, ReplaceLog, StoredState, TruncateLog
from sableford.consensus.file_disk import Disk
from sableford.consensus.messages import Entry
from sableford.consensus.state_machine import Snapshot

FORMAT_VERSION = 1
_RECORD_HEADER = Struct("<2sII")  # magic, size, CRC32C of size and body
MAGIC = b"\xa5r"
MAX_RECORD_BYTES = 64 * 1024 * 1024  # bytes of the largest record, a snapshot; a larger size field is corrupt


class LogHeader(msgspec.Struct, array_like=True, frozen=True, tag=0):
    format_version: int
    name: str
    id: str
    snapshot: int  # the last entry of the snapshot that the log continues, 0 for none
    first: int
    before: int
    lost: tuple[int, int] | None = None


class _HardStateRecord(msgspec.Struct, array_like=True, frozen=True, tag=1):
    term: int
    vote: str


class _EntryRecord(msgspec.Struct, array_like=True, frozen=True, tag=2):
    index: int
    entry: Entry


class _TruncateRecord(msgspec.Struct, array_like=True, frozen=True, tag=3):
    index: int


class _FlushMark(msgspec.Struct, array_like=True, frozen=True):
    log: str
    size: int
    term: int
    last: int


_encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(LogHeader | _HardStateRecord | _EntryRecord | _TruncateRecord).decode
_decode_mark = msgspec.msgpack.Decoder(_FlushMark).decode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def encode_record(body: bytes) -> bytes:
    size = len(body).to_bytes(4, "little")
    return _RECORD_HEADER.pack(MAGIC, len(body), google_crc32c.value(size + body)) + body


def _record_body(data: bytes, at: int) -> bytes | None:
    """The body of the record at `at`, or None where it is incomplete or damaged."""
    if at + _RECORD_HEADER.size > len(data):
        return None
    magic, size, check = _RECORD_HEADER.unpack_from(data, at)
    body = data[at + _RECORD_HEADER.size : at + _RECORD_HEADER.size + size]
    if magic != MAGIC or size > MAX_RECORD_BYTES or len(body) < size:
        return None
    return body if google_crc32c.value(size.to_bytes(4, "little") + body) == check else None


def split_records(data: bytes) -> tuple[list[bytes], int, list[bytes]]:
    """The valid records from the start, where they end, and valid records after the damage; bodies only.

    >>> one, two = encode_record(b"one"), encode_record(b"two")
    >>> split_records(one + two)[0], split_records(one + two[:-1]) == ([b"one"], len(one), [])
    ([b'one', b'two'], True)
    >>> split_records(b"?" + one[1:] + two)
    ([], 0, [b'two'])
    """
    bodies, at = [], 0
    while (body := _record_body(data, at)) is not None:
        bodies.append(body)
        at += _RECORD_HEADER.size + len(body)
    behind, next_at = [], data.find(MAGIC, at + 1)
    while next_at >= 0:
        body = _record_body(data, next_at)
        if body is not None:
            behind.append(body)
            next_at += _RECORD_HEADER.size + len(body)
        next_at = data.find(MAGIC, next_at + (body is None))
    return bodies, at, behind


class RecoveredFolder(msgspec.Struct):
    """The result of recovery: the state, the log file and its valid size, and messages about damage."""

    held: StoredState
    log: str = ""
    size: int = 0
    said: list[str] = []
    aside: list[str] = []  # files to set aside: of another process, or unreadable
    failed: str = ""  # why it can't be written


def recover(name: str, files: dict[str, bytes | None], new_id: str) -> RecoveredFolder:
    """Recovers the state from `files`, contents by name, None where a file can't be read. The newest log with
    a valid header is used."""
    logs = sorted((file for file in files if file.startswith("log-")), key=_number, reverse=True)
    if not logs:
        return RecoveredFolder(StoredState(new_id))
    said: list[str] = []
    for log in logs:
        text = files[log]
        if text is None:
            said.append(f"{log} can't be read")
            continue
        bodies, size, behind = split_records(text)
        try:
            header = _decode_record(bodies[0]) if bodies else None
        except msgspec.MsgspecError:
            header = None
        if not isinstance(header, LogHeader) or header.format_version != FORMAT_VERSION:
            said.append(f"{log} has no head")
            continue
        if header.name != name:
            return RecoveredFolder(
                StoredState(new_id), said=[f"the folder is {header.name}'s"], aside=list(files)
            )
        return _replay(log, header, bodies[1:], size, behind, files, len(text), said)
    return RecoveredFolder(StoredState(new_id), said=said, aside=list(files))


def _number(file: str) -> int:
    digits = file.rpartition("-")[2]
    return int(digits) if digits.isdigit() else 0


def _replay(
    log: str,
    header: LogHeader,
    bodies: list[bytes],
    size: int,
    behind: list[bytes],
    files: dict,
    length: int,
    said: list,
) -> RecoveredFolder:
    term, vote, entries, bad = 0, "", [], False
    for body in bodies:
        try:
            record = _decode_record(body)
        except msgspec.MsgspecError:  # valid, but written by a later version
            said.append(f"{log} has a record of a kind that this version does not know")
            bad = True
            break
        match record:
            case _HardStateRecord():
                term, vote = record.term, record.vote
            case _EntryRecord() if record.index == header.first + len(entries):
                entries.append(record.entry)
            case _TruncateRecord():
                del entries[max(0, record.index + 1 - header.first) :]
    last = header.first + len(entries) - 1
    lost = header.lost
    if behind or bad:
        lost = max([lost or (0, 0), (term, last), *_positions_in(behind)])
        said.append(f"{log} is damaged at byte {size}: what stood behind is fetched from the others")
    if (mark := _parse_mark(files.get("mark"))) is not None and mark.log == log and (mark.size > size or bad):
        lost = max(lost or (0, 0), (mark.term, mark.last))
        said.append(f"{log} was flushed up to byte {mark.size}, {size} of them are sound")
    if lost is None and length > size:
        said.append(f"{log} ended in a record that was never whole; it is cut off")
    snapshot = None
    if header.snapshot:
        snapshot = _parse_snapshot(files.get(f"image-{header.snapshot}"))
        if snapshot is None:
            lost = max(lost or (0, 0), (term, max(last, header.snapshot)))
            said.append(f"image-{header.snapshot} is missing or damaged: it is fetched from the others")
            return RecoveredFolder(StoredState(header.id, term, vote, lost=lost), log, size, said)
    held = StoredState(header.id, term, vote, snapshot, header.first, header.before, tuple(entries), lost)
    return RecoveredFolder(held, log, size, said)


def _positions_in(behind: Iterable[bytes]) -> list[tuple[int, int]]:
    """The highest term and the highest entry index among records after a damaged one."""
    seen, term = [], 0
    for body in behind:
        try:
            record = _decode_record(body)
        except msgspec.MsgspecError:
            continue
        if isinstance(record, _HardStateRecord):
            term = max(term, record.term)
            seen.append((term, 0))
        elif isinstance(record, _EntryRecord):
            seen.append((max(term, record.entry.term), record.index))
    # They need not come from the same record.
    return [(max(t for t, _ in seen), max(i for _, i in seen))] if seen else []


def _parse_mark(text: bytes | None) -> _FlushMark | None:
    try:
        bodies = split_records(text)[0] if text else []
        return _decode_mark(bodies[0]) if bodies else None
    except msgspec.MsgspecError:
        return None


def _parse_snapshot(text: bytes | None) -> Snapshot | None:
    try:
        bodies = split_records(text)[0] if text else []
        return _decode_snapshot(bodies[0]) if bodies else None
    except msgspec.MsgspecError:
        return None


class LogFiles:
    """The open folder. All calls come from one worker thread; after a failure only a `ReplaceLog` is
    accepted."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk, self._name = disk, name
        self._log, self._size = "", 0
        self._image = 0
        self._term = self._last = 0
        self._has_failed = False
        self._opened = False

    def open(self) -> RecoveredFolder:
        """Recovers the folder's state and writes it to a new log file, so that damage is not read twice."""
        files: dict[str, bytes | None] = {}
        for file in self._disk.list_names():
            try:
                files[file] = self._disk.read(file)
            except OSError:
                files[file] = None
        found = recover(self._name, files, os.urandom(8).hex())
        held = found.held
        self._log = found.log or "log-0"
        hard_state = HardState(held.term, held.vote)
        whole = ReplaceLog(
            held.id, hard_state, held.snapshot, held.first, held.before, held.entries, held.lost
        )
        try:
            for file in found.aside:
                text = files[file]
                if text is not None and not file.startswith("aside-"):
                    self._disk.write_unsynced(f"aside-{file}", text)
                self._disk.remove(file)
            self._write(whole)
        except OSError as problem:
            self._has_failed, found.failed = True, str(problem)
        return found

    def persist(self, writes: Iterable[object]) -> None:
        """Makes all writes durable, in their order; raises OSError unless all of them certainly are."""
        writes = list(writes)
        try:
            at = max((at for at, write in enumerate(writes) if isinstance(write, ReplaceLog)), default=None)
            if at is not None:  # it includes the writes before it
                self._write(writes[at])
                writes = writes[at + 1 :]
            elif self._has_failed:
                raise OSError("an earlier write failed")
            if not writes:
                return
            text = b"".join(encode_record(_encode(_to_record(write))) for write in writes)
            self._disk.append(self._log, text)
            self._disk.sync(self._log)
            self._size += len(text)
            for write in writes:
                self._note_written(write)
            self._write_mark()
        except OSError:
            self._has_failed = True
            raise

    def _note_written(self, write: object) -> None:
        match write:
            case HardState(term):
                self._term = term
            case AppendToLog(index, entry):
                self._last, self._term = index, max(self._term, entry.term)
            case TruncateLog(index):
                self._last = index

    def _write(self, whole: ReplaceLog) -> None:
        """Writes a new log file beside the old one, which is removed once the new one is durable."""
        if whole.snapshot is not None and whole.snapshot.last != self._image:
            self._disk.write(f"image-{whole.snapshot.last}", encode_record(_encode(whole.snapshot)))
        snapshot = whole.snapshot.last if whole.snapshot else 0
        header = LogHeader(
            FORMAT_VERSION, self._name, whole.id, snapshot, whole.first, whole.before, whole.lost
        )
        records = [header, _HardStateRecord(*whole.hard_state)]
        records += [_EntryRecord(index, entry) for index, entry in enumerate(whole.entries, whole.first)]
        text = b"".join(encode_record(_encode(record)) for record in records)
        log = f"log-{_number(self._log) + 1}"
        self._disk.write(log, text)
        self._log, self._size, self._has_failed, self._image = log, len(text), False, snapshot
        self._term = max([whole.hard_state.term, *(entry.term for entry in whole.entries)])
        self._last = whole.first + len(whole.entries) - 1
        self._write_mark()
        for file in self._disk.list_names():
            if file.startswith(("log-", "image-")) and file not in (log, f"image-{snapshot}"):
                self._disk.remove(file)

    def _write_mark(self) -> None:
        self._disk.write_unsynced(
            "mark", encode_record(_encode(_FlushMark(self._log, self._size, self._term, self._last)))
        )


def _to_record(write: object) -> object:
    match write:
        case HardState(term, vote):
            return _HardStateRecord(term, vote)
        case AppendToLog(index, entry):
            return _EntryRecord(index, entry)
        case TruncateLog(index):
            return _TruncateRecord(index)
    raise TypeError(f"{write!r} is not kept")
