"""The scheduler processes of a run: starts, kills, suspends and restarts them, also with another data folder.

Signals go only to processes that were started here.
"""

import asyncio
import os
import shutil
import signal
import sys
from contextlib import suppress
from pathlib import Path

import msgspec

from sableford.rig.clock import RunClock
from sableford.rig.history import History

READY_TIMEOUT_S = (
    20.0  # until it takes clients; with the `slow` disk fault a start takes several slow flushes
)
ENDS_IN = 6.0  # s from SIGTERM to SIGKILL
COPY_INTERVAL_S = 2.0  # between attempts to copy the data folders, for restarts with `folder = "older"`


class Node:
    """One scheduler process, its data folder and its log."""

    def __init__(self, name: str, root: Path, config: dict, history: History, clock: RunClock) -> None:
        self.name, self._config, self._history, self._clock = name, config, history, clock
        self.home = root / name
        self.folder, self.older_copy = self.home / "folder", self.home / "old"
        self.folder.mkdir(parents=True)
        self.config_file, self.log = self.home / "berth.json", self.home / "log"
        self.process: asyncio.subprocess.Process | None = None
        self.injected_faults: dict = {}
        self.unavailable_since: float | None = None
        # Exit codes of ends that the rig didn't cause; -1: still running ENDS_IN after SIGTERM.
        self.unexpected_exit_codes: list[int] = []
        self._end_expected = False
        # Active faults of each kind: the process comes up again when the last one ends.
        self.down_faults = self.suspend_faults = 0

    async def start(self, known: dict) -> None:
        """Starts the process with `known` as its worker list; returns once it takes clients."""
        self.config_file.write_bytes(msgspec.json.encode(self._config | {"known": known}))
        env = os.environ | {
            "TMPDIR": str(self.folder),
            "RIG": msgspec.json.encode(self.injected_faults).decode(),
        }
        env["PYTHONFAULTHANDLER"] = "1"
        flags = [
            flag for flag, field in (("--talk", "peers"), ("--fleet", "fleet")) if self._config.get(field)
        ]
        flags += ["--config", str(self.config_file)]
        module = "sableford.rig.launch" if self.injected_faults else "sableford"
        with self.log.open("ab") as log, (self.home / "errors").open("ab") as errors:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-B", "-m", module, "serve", "--each-txn", *flags),
                env=env,
                stdout=log,
                stderr=errors,
            )
        self._end_expected = False
        self._watcher = asyncio.create_task(self._watch_process(self.process))
        host, _, port = self._config["listen"].rpartition(":")
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self.process.returncode is None:
                with suppress(OSError):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
                    status_line = await reader.readline()
                    writer.close()
                    if b" 200 " in status_line:
                        break
                await asyncio.sleep(0.02)
        if self.unavailable_since is not None:
            self._history.record_unavailable(self.name, self.unavailable_since, self._clock.now(), "away")
            self.unavailable_since = None
        self._history.record_event(self._clock.now(), self.name, f"takes clients, process {self.process.pid}")

    async def _watch_process(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self._end_expected:
            self.unexpected_exit_codes.append(code)
            self.unavailable_since = self._clock.now()
            self._history.record_event(self._clock.now(), self.name, f"ended by itself with {code}")

    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        if self.is_running():
            self._end_expected, self.unavailable_since = True, self._clock.now()
            self._history.record_event(self._clock.now(), self.name, "SIGKILL")
            self.process.kill()
            await self.process.wait()

    async def terminate(self) -> None:
        """Sends SIGTERM. Requests accepted before its end must still be answered, so it counts as unavailable
        only from its end on."""
        if self.is_running():
            self._end_expected = True
            self._history.record_event(self._clock.now(), self.name, "SIGTERM")
            self.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(ENDS_IN):
                    await self.process.wait()
            except TimeoutError:
                self.unexpected_exit_codes.append(-1)
                self._history.record_event(self._clock.now(), self.name, "did not end")
                self.process.kill()
                await self.process.wait()
            self.unavailable_since = self._clock.now()

    def suspend(self) -> None:
        if self.is_running():
            self.unavailable_since = self._clock.now()
            self._history.record_event(self._clock.now(), self.name, "SIGSTOP")
            self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        # False if it was killed and restarted meanwhile.
        if self.is_running() and self.unavailable_since is not None:
            self.process.send_signal(signal.SIGCONT)
            self._history.record_event(self._clock.now(), self.name, "SIGCONT")
            # Data that arrived while it was suspended is read late: 1000 ms to catch up.
            self._history.record_unavailable(
                self.name, self.unavailable_since, self._clock.now() + 1000.0, "stopped"
            )
            self.unavailable_since = None

    # Its data folder

    def copy_folder(self) -> None:
        """Copies the folder once, for a later restart with older data; skips files removed meanwhile."""
        partial_copy = self.home / "copying"
        shutil.rmtree(partial_copy, ignore_errors=True)
        with suppress(shutil.Error, OSError):
            shutil.copytree(self.folder, partial_copy)
        if not self.older_copy.exists() and partial_copy.exists():
            partial_copy.rename(self.older_copy)

    def replace_folder(self, what: str, other: "Node | None") -> None:
        if what == "same":
            return
        shutil.rmtree(self.folder, ignore_errors=True)
        source = {"older": self.older_copy, "other": other.folder if other else self.older_copy}.get(what)
        if source is not None and source.exists():
            with suppress(shutil.Error, OSError):
                shutil.copytree(source, self.folder)
        self.folder.mkdir(exist_ok=True)
