"""The record's folder: how entries, terms and votes stand in files, and what a damaged folder still says.

It owns the form of the files. Reading is a table from what is found to what is believed (`recover`),
without I/O: a last record that is not whole was never acknowledged, unless the mark beside the log says
that it was; one that is bad in the middle is damage, and what stood from there on counts as lost and not as
never written.

A folder holds `log-N` (a head, then a record for each term and vote, entry and cut), `image-N` (the
snapshot the log stands on, if any) and `mark` (how far the log was flushed when it was last written).
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

FORM = 1
_FRAME = Struct("<2sII")  # magic, size, CRC32C of size and body
MAGIC = b"\xa5r"
MOST = 64 * 1024 * 1024  # bytes of one record: a snapshot; a longer one is a size that was changed


class Head(msgspec.Struct, array_like=True, frozen=True, tag=0):
    form: int
    name: str
    id: str
    snapshot: int  # the last entry of the snapshot it stands on, 0 for none
    first: int
    before: int
    lost: tuple[int, int] | None = None


class _Meta(msgspec.Struct, array_like=True, frozen=True, tag=1):
    term: int
    vote: str


class _Add(msgspec.Struct, array_like=True, frozen=True, tag=2):
    index: int
    entry: Entry


class _Cut(msgspec.Struct, array_like=True, frozen=True, tag=3):
    index: int


class _Mark(msgspec.Struct, array_like=True, frozen=True):
    log: str
    size: int
    term: int
    last: int


_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(Head | _Meta | _Add | _Cut).decode
_mark = msgspec.msgpack.Decoder(_Mark).decode
_image = msgspec.msgpack.Decoder(Snapshot).decode


def frame(body: bytes) -> bytes:
    size = len(body).to_bytes(4, "little")
    return _FRAME.pack(MAGIC, len(body), google_crc32c.value(size + body)) + body


def _body(data: bytes, at: int) -> bytes | None:
    """The whole and sound body that begins there."""
    if at + _FRAME.size > len(data):
        return None
    magic, size, check = _FRAME.unpack_from(data, at)
    body = data[at + _FRAME.size : at + _FRAME.size + size]
    if magic != MAGIC or size > MOST or len(body) < size:
        return None
    return body if google_crc32c.value(size.to_bytes(4, "little") + body) == check else None


def frames(data: bytes) -> tuple[list[bytes], int, list[bytes]]:
    """The sound bodies from the start, where they end, and sound ones behind what is bad.

    >>> one, two = frame(b"one"), frame(b"two")
    >>> frames(one + two)[0], frames(one + two[:-1]) == ([b"one"], len(one), [])
    ([b'one', b'two'], True)
    >>> frames(b"?" + one[1:] + two)
    ([], 0, [b'two'])
    """
    bodies, at = [], 0
    while (body := _body(data, at)) is not None:
        bodies.append(body)
        at += _FRAME.size + len(body)
    behind, look = [], data.find(MAGIC, at + 1)
    while look >= 0:
        body = _body(data, look)
        if body is not None:
            behind.append(body)
            look += _FRAME.size + len(body)
        look = data.find(MAGIC, look + (body is None))
    return bodies, at, behind


class Found(msgspec.Struct):
    """What a folder comes to: what is held, which log goes on at which size, and what is to be said of it."""

    held: StoredState
    log: str = ""
    size: int = 0
    said: list[str] = []
    aside: list[str] = []  # files of another's folder, or that say nothing any more
    failed: str = ""  # why it can't be written


def recover(name: str, files: dict[str, bytes | None], new_id: str) -> Found:
    """`files`: by name, none for one that can't be read."""
    logs = sorted((file for file in files if file.startswith("log-")), key=_number, reverse=True)
    if not logs:
        return Found(StoredState(new_id))
    said: list[str] = []
    for log in logs:
        text = files[log]
        if text is None:
            said.append(f"{log} can't be read")
            continue
        bodies, size, behind = frames(text)
        try:
            head = _record(bodies[0]) if bodies else None
        except msgspec.MsgspecError:
            head = None
        if not isinstance(head, Head) or head.form != FORM:
            said.append(f"{log} has no head")
            continue
        if head.name != name:
            return Found(StoredState(new_id), said=[f"the folder is {head.name}'s"], aside=list(files))
        return _read(log, head, bodies[1:], size, behind, files, len(text), said)
    return Found(StoredState(new_id), said=said, aside=list(files))


def _number(file: str) -> int:
    digits = file.rpartition("-")[2]
    return int(digits) if digits.isdigit() else 0


def _read(
    log: str,
    head: Head,
    bodies: list[bytes],
    size: int,
    behind: list[bytes],
    files: dict,
    length: int,
    said: list,
) -> Found:
    term, vote, entries, bad = 0, "", [], False
    for body in bodies:
        try:
            record = _record(body)
        except msgspec.MsgspecError:  # sound, but of a later version
            said.append(f"{log} has a record of a kind that this version does not know")
            bad = True
            break
        match record:
            case _Meta():
                term, vote = record.term, record.vote
            case _Add() if record.index == head.first + len(entries):
                entries.append(record.entry)
            case _Cut():
                del entries[max(0, record.index + 1 - head.first) :]
    last = head.first + len(entries) - 1
    lost = head.lost
    if behind or bad:
        lost = max([lost or (0, 0), (term, last), *_seen(behind)])
        said.append(f"{log} is damaged at byte {size}: what stood behind is fetched from the others")
    if (mark := _marked(files.get("mark"))) is not None and mark.log == log and (mark.size > size or bad):
        lost = max(lost or (0, 0), (mark.term, mark.last))
        said.append(f"{log} was flushed up to byte {mark.size}, {size} of them are sound")
    if lost is None and length > size:
        said.append(f"{log} ended in a record that was never whole; it is cut off")
    snapshot = None
    if head.snapshot:
        snapshot = _snapshot(files.get(f"image-{head.snapshot}"))
        if snapshot is None:
            lost = max(lost or (0, 0), (term, max(last, head.snapshot)))
            said.append(f"image-{head.snapshot} is missing or damaged: it is fetched from the others")
            return Found(StoredState(head.id, term, vote, lost=lost), log, size, said)
    held = StoredState(head.id, term, vote, snapshot, head.first, head.before, tuple(entries), lost)
    return Found(held, log, size, said)


def _seen(behind: Iterable[bytes]) -> list[tuple[int, int]]:
    """Terms and entries that stand behind a bad record."""
    seen, term = [], 0
    for body in behind:
        try:
            record = _record(body)
        except msgspec.MsgspecError:
            continue
        if isinstance(record, _Meta):
            term = max(term, record.term)
            seen.append((term, 0))
        elif isinstance(record, _Add):
            seen.append((max(term, record.entry.term), record.index))
    # The highest term, and the highest entry, need not stand in one record.
    return [(max(t for t, _ in seen), max(i for _, i in seen))] if seen else []


def _marked(text: bytes | None) -> _Mark | None:
    try:
        bodies = frames(text)[0] if text else []
        return _mark(bodies[0]) if bodies else None
    except msgspec.MsgspecError:
        return None


def _snapshot(text: bytes | None) -> Snapshot | None:
    try:
        bodies = frames(text)[0] if text else []
        return _image(bodies[0]) if bodies else None
    except msgspec.MsgspecError:
        return None


class LogFiles:
    """The folder in use. All of it is a hand's; after a failure only a `Whole` is taken."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk, self._name = disk, name
        self._log, self._size = "", 0
        self._image = 0
        self._term = self._last = 0
        self._broken = False
        self._opened = False

    def open(self) -> Found:
        """What the folder holds; a fresh one, and one that is not whole, is written anew."""
        files: dict[str, bytes | None] = {}
        for file in self._disk.names():
            try:
                files[file] = self._disk.read(file)
            except OSError:
                files[file] = None
        found = recover(self._name, files, os.urandom(8).hex())
        held = found.held
        self._log = found.log or "log-0"
        meta = HardState(held.term, held.vote)
        whole = ReplaceLog(held.id, meta, held.snapshot, held.first, held.before, held.entries, held.lost)
        try:
            for file in found.aside:
                text = files[file]
                if text is not None and not file.startswith("aside-"):
                    self._disk.note(f"aside-{file}", text)
                self._disk.remove(file)
            self._write(whole)
        except OSError as problem:
            self._broken, found.failed = True, str(problem)
        return found

    def keep(self, writes: Iterable[object]) -> None:
        """All of them on the disk, in their order; OSError where not all surely are."""
        writes = list(writes)
        try:
            at = max((at for at, write in enumerate(writes) if isinstance(write, ReplaceLog)), default=None)
            if at is not None:  # what stood before it is in it
                self._write(writes[at])
                writes = writes[at + 1 :]
            elif self._broken:
                raise OSError("an earlier write failed")
            if not writes:
                return
            text = b"".join(frame(_encode(_form(write))) for write in writes)
            self._disk.append(self._log, text)
            self._disk.sync(self._log)
            self._size += len(text)
            for write in writes:
                self._become_follower(write)
            self._note_progress()
        except OSError:
            self._broken = True
            raise

    def _become_follower(self, write: object) -> None:
        match write:
            case HardState(term):
                self._term = term
            case AppendToLog(index, entry):
                self._last, self._term = index, max(self._term, entry.term)
            case TruncateLog(index):
                self._last = index

    def _write(self, whole: ReplaceLog) -> None:
        """A new log beside the old one, which goes once the new one is whole."""
        if whole.snapshot is not None and whole.snapshot.last != self._image:
            self._disk.write(f"image-{whole.snapshot.last}", frame(_encode(whole.snapshot)))
        snapshot = whole.snapshot.last if whole.snapshot else 0
        head = Head(FORM, self._name, whole.id, snapshot, whole.first, whole.before, whole.lost)
        records = [head, _Meta(*whole.meta)]
        records += [_Add(index, entry) for index, entry in enumerate(whole.entries, whole.first)]
        text = b"".join(frame(_encode(record)) for record in records)
        log = f"log-{_number(self._log) + 1}"
        self._disk.write(log, text)
        self._log, self._size, self._broken, self._image = log, len(text), False, snapshot
        self._term = max([whole.meta.term, *(entry.term for entry in whole.entries)])
        self._last = whole.first + len(whole.entries) - 1
        self._note_progress()
        for file in self._disk.names():
            if file.startswith(("log-", "image-")) and file not in (log, f"image-{snapshot}"):
                self._disk.remove(file)

    def _note_progress(self) -> None:
        self._disk.note("mark", frame(_encode(_Mark(self._log, self._size, self._term, self._last))))


def _form(write: object) -> object:
    match write:
        case HardState(term, vote):
            return _Meta(term, vote)
        case AppendToLog(index, entry):
            return _Add(index, entry)
        case TruncateLog(index):
            return _Cut(index)
    raise TypeError(f"{write!r} is not kept")
