"""The runtime that all roles share: the listener for peers, the links to peers, signals, and reloading of the
settings file.
"""

import asyncio
import os
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from sableford.common.log import Log
from sableford.common.serial_executor import SerialExecutor
from sableford.common.settings import Settings, SettingsError, read
from sableford.control.member_client import MemberClient
from sableford.control.protocol import MemberStatus, Update
from sableford.control.view import ViewNumber
from sableford.duties.messages import DutyReport
from sableford.transport.link import IncomingMessage
from sableford.transport.link_pool import LinkPool
from sableford.transport.messages import PROTOCOL_VERSION, HelloRequest
from sableford.transport.peer_server import PeerServer

SETTINGS_CHECK_S = 2.0  # between two checks of the settings file for changes
FIXED_SETTINGS = (
    "bind_ip",
    "port_range",
    "bind_addrs",
    "data_dir",
)  # a change takes effect only after a restart

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class StoreStatus(NamedTuple):
    """What a store reports to the leader in addition to other members; see `protocol.MemberStatus`."""

    complete: bool = True
    empty: bool = False
    full: bool = False
    audits: dict[str, str] = {}  # noqa: RUF012  (read only)
    safe: ViewNumber = (0, 0)
    safe_without_leaving: ViewNumber = (0, 0)


class _FileIdentity(NamedTuple):
    """File attributes that reveal a change of the settings file."""

    modified_ns: int
    size: int
    inode: int


class Runtime:
    """One process in the role "edge" or "store". Register message handlers with `peer_server` and callbacks
    with `member`, then call `listen`. `ending` is set when the process should stop."""

    def __init__(self, settings: Settings, file: Path, role: str) -> None:
        self.settings, self.file, self.role = settings, file, role
        self.incarnation = os.urandom(6).hex()
        self.me = settings.bind_ip
        self.port = settings.port_range[0]
        self.log = Log(settings.node_name)
        self.loop = asyncio.get_running_loop()
        self.ending = asyncio.Event()
        self.store_status = StoreStatus()
        self.duty_reports: Callable[[], dict[str, DutyReport]] = dict
        self.peer_server = PeerServer(self.me, self.incarnation, self.log)
        hello = HelloRequest(self.me, self.incarnation, role, PROTOCOL_VERSION)
        self.links = LinkPool(hello, self.port, self.peer_server.receive)
        self.member = MemberClient(self.links, self.me, self.status, lambda: self.settings.seeds, self.log)
        self.peer_server.handle(Update, self._apply_update)
        self._file_calls = SerialExecutor("settings")
        self._file_identity: _FileIdentity | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.loop.set_exception_handler(self._log_unhandled)

    def now(self) -> float:
        """The time of the event loop's clock in ms."""
        return self.loop.time() * 1000.0

    def status(self) -> MemberStatus:
        """What this process reports about itself to the leader."""
        return MemberStatus(
            incarnation=self.incarnation,
            role=self.role,
            zone=self.settings.zone,
            node=self.settings.node_name,
            control=self.settings.bind_addrs.control_rpc or "",
            leaving=self.ending.is_set(),
            duties=self.duty_reports(),
            **self.store_status._asdict(),
        )

    def _apply_update(self, incoming: IncomingMessage[Update]) -> None:
        self.member.apply_update(incoming.link, incoming.message)

    async def listen(self) -> None:
        """Listens for peers and installs the signal handlers. From here on a refused connection proves
        that this process has ended."""
        await self.peer_server.listen(self.port)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.end)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: self.spawn(self._reload_settings(forced=True)))
        self.spawn(self.member.run())
        self.spawn(self._watch_settings())
        self.log.event("up", role=self.role, birth=self.incarnation, pid=os.getpid())
        if unknown := self.settings.unknown_rule_parts:
            self.log.event("rule_parts_unknown", parts=unknown)

    def end(self) -> None:
        """Starts the shutdown, and reports it to the leader at once."""
        if not self.ending.is_set():
            self.ending.set()
            self.log.event("ending")
            self.member.renew_now()

    def ignore_signals(self) -> None:
        """Ignores further signals, so that they do not change the exit code of a finished process.

        On exit the interpreter resets signals with a handler to their default action, not ignored ones."""
        for number in HANDLED_SIGNALS:
            self.loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    # Tasks

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Starts a background task. A failure is logged and affects no other task."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self._log_unhandled(self.loop, {"message": "a task failed", "exception": problem})

    def _log_unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs an unhandled exception with the place in the code where it was raised."""
        problem = context.get("exception")
        place = ""
        if problem is not None and problem.__traceback__ is not None:
            innermost = problem.__traceback__
            while innermost.tb_next is not None:
                innermost = innermost.tb_next
            place = f"{innermost.tb_frame.f_code.co_filename}:{innermost.tb_lineno}"
        self.log.event("unforeseen", what=context.get("message"), problem=repr(problem), at=place)

    # Settings

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            await self._reload_settings(forced=False)

    def _load_settings(self, forced: bool) -> tuple[_FileIdentity, Settings | None]:
        """Returns the file's identity, and its settings if they may have changed. Blocking."""
        stat = self.file.stat()
        identity = _FileIdentity(stat.st_mtime_ns, stat.st_size, stat.st_ino)
        is_unchanged = identity == self._file_identity and not forced
        return identity, None if is_unchanged else read(self.file)

    async def _reload_settings(self, forced: bool) -> None:
        """Reloads the settings; if the file is invalid the current settings remain in use."""
        try:
            identity, settings = await self._file_calls.submit("read", lambda: self._load_settings(forced))
        except (SettingsError, OSError) as problem:
            self.log.event("settings_refused", problem=str(problem), kept=True)
            return
        self._file_identity = identity
        if settings is None or settings == self.settings:
            return
        previous, self.settings = self.settings, settings
        need_restart = [name for name in FIXED_SETTINGS if getattr(settings, name) != getattr(previous, name)]
        self.log.event("settings_read", need_restart=need_restart)
