"""The command line. Exit codes: 0 after SIGTERM, 2 with a one-line message for invalid settings, 70 after an
internal error."""

import asyncio
import sys
from pathlib import Path
from typing import ClassVar

import uvloop
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from sableford.common import settings as settings_file
from sableford.common.settings import Settings, SettingsError


def _serve(role: str, file: Path, settings: Settings) -> None:
    from sableford.node.runtime import Runtime

    async def run() -> None:
        runtime = Runtime(settings, file, role)
        try:
            if role == "store":
                from sableford.store.server import StoreServer

                await StoreServer(runtime).run()
            else:
                from sableford.edge.gateway import Gateway

                await Gateway(runtime).run()
        finally:
            runtime.ignore_signals()
            runtime.log.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


class _ServeCommand(Command):
    options: ClassVar = [
        option("settings", "s", "The settings file; else the one that SABLEFORD_SETTINGS names.", flag=False)
    ]
    role = ""

    def handle(self) -> int:
        file = Path(self.option("settings") or settings_file.path())
        try:
            settings = settings_file.read(file)
            if self.role == "store" and not settings.data_dir:
                raise SettingsError(f"{file}: dataDir: a store needs a folder")
            if self.role == "edge" and not settings.bind_addrs.public_http:
                raise SettingsError(f"{file}: bindAddrs.publicHttp: an edge needs an address for clients")
        except SettingsError as problem:
            sys.stderr.write(f"{problem}\n")
            return 2
        _serve(self.role, file, settings)
        return 0


class EdgeCommand(_ServeCommand):
    name = "edge"
    description = "Takes messages in from clients (edge machines)."
    role = "edge"


class StoreCommand(_ServeCommand):
    name = "store"
    description = "Keeps messages, delivers them, and holds its part of the core (storage machines)."
    role = "store"


class CheckCommand(Command):
    name = "check"
    description = "Reads a settings file, or a configuration (JSON), and says what is wrong with it."
    arguments: ClassVar = [argument("file", "The file.")]
    options: ClassVar = [
        option("configuration", "c", "It is a configuration, not a settings file.", flag=True)
    ]

    def handle(self) -> int:
        file = Path(self.argument("file"))
        try:
            if self.option("configuration"):
                import orjson

                from sableford.control.configuration import InvalidRequestError, check

                try:
                    found = check(orjson.loads(file.read_bytes()))
                except OSError as problem:
                    raise SettingsError(f"{file}: {problem.strerror}") from None
                except (InvalidRequestError, orjson.JSONDecodeError) as problem:
                    raise SettingsError(f"{file}: {problem}") from None
                self.line(
                    f"revision {found.revision}: {len(found.routes)} routes, {len(found.backends)} backends"
                )
            else:
                settings = settings_file.read(file)
                self.line(
                    f"{settings.node_name} in {settings.zone}: {', '.join(settings.serves) or 'no duty'}"
                )
        except SettingsError as problem:
            self.line_error(str(problem))
            return 2
        return 0


def main(arguments: list[str] | None = None) -> int:
    application = Application("sableford", "0.3.0")
    for command in (EdgeCommand(), StoreCommand(), CheckCommand()):
        application.add(command)
    application.auto_exits(False)
    if arguments is None:
        return application.run()
    from cleo.io.inputs.argv_input import ArgvInput

    return application.run(ArgvInput(["sableford", *arguments]))
