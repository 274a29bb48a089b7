"""The directory shared by the processes of one scheduler: which of them live, and their published states.

Each process holds a lock on `{token}.lock` while it lives, and writes `{token}.word`. Calls may block on the
disk, so after the start they run in a thread. Content written by other processes is validated.
"""

import fcntl
import os
import stat
import tempfile
import time
from contextlib import suppress
from pathlib import Path

import msgspec

from sableford.net import handover_state
from sableford.net.handover_state import OtherProcess, ProcessState


class StateDirectory:
    def __init__(self, name: str, token: str, dead_state_valid: float) -> None:
        """`dead_state_valid`: ms for which a dead process's state counts. OSError if the directory is bad."""
        self._token, self._dead_state_valid = token, dead_state_valid
        # By token: the file version and its decoded content.
        self._cache: dict[str, tuple[tuple[int, ...], ProcessState | None]] = {}
        self._heartbeat_at = 0.0
        self.path = Path(tempfile.gettempdir(), name)
        self.path.mkdir(mode=0o700, exist_ok=True)
        status = self.path.lstat()
        if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid():
            raise PermissionError(f"{self.path} belongs to another user")
        # Locked before it is renamed: an unlocked lock file counts as a dead process's.
        temporary = self.path / f"{token}.new"
        self.lock = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        temporary.rename(self.path / f"{token}.lock")

    def write(self, state: ProcessState) -> None:
        """Publishes this process's state atomically. No fsync: it survives the process, not the machine."""
        temporary = self.path / f"{self._token}.part"
        temporary.write_bytes(msgspec.json.encode(state))
        temporary.rename(self.path / f"{self._token}.word")

    def poll(self, heartbeat: float = 0.0) -> tuple[list[OtherProcess], list[ProcessState]]:
        """Returns the other live processes, and the states of recently dead ones, whose files are removed.

        Every `heartbeat` ms the own lock file is touched, which dates this process's state after its death.
        """
        living: list[OtherProcess] = []
        dead_states: list[ProcessState] = []
        if heartbeat and time.monotonic() * 1000.0 - self._heartbeat_at >= heartbeat:
            self._heartbeat_at = time.monotonic() * 1000.0
            with suppress(OSError):
                os.utime(self.lock)
        try:
            names = [entry.name for entry in os.scandir(self.path)]
        except OSError:
            return living, dead_states
        locks = sorted(name for name in names if name.endswith(".lock"))
        for token in (name.removesuffix(".lock") for name in locks):
            if token == self._token:
                continue
            if (last_sign := self._last_sign(token)) is None:
                living.append(OtherProcess(token, self._read_state(token)))
                continue
            state = self._read_state(token)
            if state is not None and time.time() * 1000.0 - last_sign < self._dead_state_valid:
                dead_states.append(state)
            self.remove(token)
        for token in self._cache.keys() - {other.token for other in living}:
            del self._cache[token]
        return living, dead_states

    def _last_sign(self, token: str) -> float | None:
        """Last heartbeat of a dead process; None for a live one."""
        try:
            file = os.open(self.path / f"{token}.lock", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return 0.0
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return os.fstat(file).st_mtime * 1000.0
        except OSError:
            return None
        finally:
            os.close(file)

    def _read_state(self, token: str) -> ProcessState | None:
        path = self.path / f"{token}.word"
        try:
            status = path.stat()
            version = (status.st_ino, status.st_mtime_ns, status.st_size)
            if self._cache.get(token, ((), None))[0] != version:
                text = path.read_bytes() if status.st_size <= handover_state.MAX_STATE_BYTES else b""
                self._cache[token] = version, handover_state.decode_state(text)
        except OSError:  # not written yet
            return None
        return self._cache[token][1]

    def remove(self, token: str) -> None:
        for ending in ("word", "part", "new", "lock"):
            with suppress(OSError):
                (self.path / f"{token}.{ending}").unlink()
