"""The command line, and the order in which the actors start and end."""

import asyncio
import gc
import signal
import socket
import sys
from importlib import import_module
from typing import ClassVar

import click

import sableford
from sableford.common.log_writer import LogWriter
from sableford.net.acceptor import Acceptor
from sableford.net.console import Console
from sableford.net.discovery import DiscoveryClient, first_list, inherited_list
from sableford.net.dispatcher import Dispatcher
from sableford.net.handover import Handover
from sableford.net.log import Log
from sableford.net.messages import Clock, Mailbox, Shutdown, WarmUpOwnership
from sableford.net.peer_transport import PeerTransport
from sableford.net.startup_config import ConfigReloader, ReloadConfig, StartupConfig, read_config

EXIT_BAD_CONFIG, EXIT_ACTOR_FAILED = 2, 70
LOG_FLUSH_MS = 200.0  # at exit, the log's reader has this long to take the last lines


def open_listener(field: str, address: tuple[str, int], config: StartupConfig) -> socket.socket:
    """Opens a listening socket; an address left in TIME_WAIT by a killed process can be reused."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Lets the next version start while this one runs.
        if config.console is not None and field == "listen":
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # Bounds unread bytes per connection in the kernel; accepted sockets inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, config.limits.read_size)
        listener.bind(address)
        listener.listen(config.limits.backlog)
    except OSError as problem:
        listener.close()
        raise ValueError(f"{field}: {address[0]}:{address[1]}: {problem.strerror}") from problem
    listener.setblocking(False)
    return listener


async def run(config: StartupConfig, path: str, log: Log, talk: bool = False, fleet: bool = False) -> int:
    """Starts every actor, and ends when the acceptor has."""
    loop, settings = asyncio.get_running_loop(), config.settings
    loop.set_exception_handler(
        lambda loop, message: log.event("unhandled", **{k: repr(v) for k, v in message.items()})
    )
    clock = Clock(loop)
    address = "{}:{}".format(*config.listen) if config.console is not None else None
    handover = Handover(config.name, address, clock, config.limits, log)
    overrides, processes, snapshot = handover.start()
    config = config._replace(limits=config.limits_per_process(processes) if processes > 1 else config.limits)
    limits = config.limits
    listener = open_listener("listen", config.listen, config)
    worker_list, revision = first_list(config.known, settings, log)
    if snapshot is not None and (inherited := inherited_list(snapshot.listing, settings, log)) is not None:
        worker_list, revision = inherited, None
    discovery = DiscoveryClient(config.discovery, revision, limits, settings, log)
    peers = PeerTransport(config.peers, settings.config.position, limits, log)
    console_mailbox = Mailbox()
    fleet_actor = (
        create_fleet_actor(config.fleet, config.seed, clock, limits, log, console_mailbox)
        if config.fleet is not None
        else None
    )
    peer_mailbox = fleet_actor.mail if fleet_actor is not None else peers.mailbox
    dispatcher = Dispatcher(
        settings, config.seed, discovery.mailbox, clock, limits, log, peer_mailbox, console_mailbox
    )
    acceptor = Acceptor(listener, dispatcher.mailbox, clock, limits, settings, log)
    if handover.enabled():
        dispatcher.inherit(handover.mailbox, snapshot.learned if snapshot is not None else None)
    config_reloader = ConfigReloader(path, log, processes, talk, fleet)
    # Queued before any txn can arrive.
    for message in (*overrides, WarmUpOwnership(handover.owns_warm_up()), worker_list):
        dispatcher.mailbox.put(message)
    console = Console(
        console_mailbox,
        handover.mailbox,
        clock,
        limits,
        log,
        fleet_actor.mail if fleet_actor is not None else None,
    )
    if config.console is not None:
        console.open(open_listener("console", config.console, config))

    def request_shutdown() -> None:
        console.mailbox.put_first(Shutdown())
        if fleet_actor is not None:
            fleet_actor.mail.put(Shutdown())
        handover.mailbox.put_first(Shutdown())  # which informs the acceptor

    for stop in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop, request_shutdown)
    loop.add_signal_handler(signal.SIGHUP, config_reloader.mailbox.put, ReloadConfig())
    others = (peers.mailbox, discovery.mailbox, dispatcher.mailbox, acceptor.mailbox)
    actors = {
        loop.create_task(dispatcher.run(), name="desk"): dispatcher,
        loop.create_task(discovery.run(dispatcher.mailbox), name="roster"): discovery,
        loop.create_task(acceptor.run(), name="gate"): acceptor,
        loop.create_task(console.run(), name="console"): console,
        loop.create_task(
            handover.run(dispatcher.mailbox, acceptor.mailbox, config_reloader.mailbox), name="handover"
        ): handover,
        loop.create_task(config_reloader.run(config, others), name="keeper"): config_reloader,
        loop.create_task(peers.run(dispatcher.mailbox), name="peers"): peers,
    }
    if fleet_actor is not None:
        actors[loop.create_task(fleet_actor.run(dispatcher.mailbox), name="fleet")] = fleet_actor
    log.event(
        "serving",
        listen=config.listen,
        console=config.console,
        clients=limits.clients,
        lines=limits.worker_connections,
    )
    done, _ = await asyncio.wait(actors, return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        if (problem := task.exception()) is not None:
            cause = repr(problem.__cause__ or problem)
            log.event("actor_failed", actor=task.get_name(), problem=repr(problem), cause=cause)
            await asyncio.sleep(limits.failure_flush / 1000.0)
            return EXIT_ACTOR_FAILED
    log.event("left")
    await handover.close()
    return 0


def create_fleet_actor(*given: object) -> object:
    """Creates the fleet's actor, whose modules are only imported when needed."""
    return import_module("sableford.fleet.actor").FleetActor(*given)


def _exit_bad_config(problem: ValueError) -> None:
    click.echo(f"sableford: {problem}".replace("\n", " "), err=True)
    sys.exit(EXIT_BAD_CONFIG)


_config_option = click.option(
    "--config",
    envvar="BALANCER_CONFIG",
    required=True,
    metavar="FILE",
    help="The configuration file, JSON.",
)


class _LazyGroup(click.Group):
    """A command group that imports some commands only when they are called, to keep the start fast."""

    LAZY_COMMANDS: ClassVar = {"rig": "sableford.rig.cli", "fleet": "sableford.fleet.cli"}

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name in self.LAZY_COMMANDS:
            return getattr(import_module(self.LAZY_COMMANDS[name]), name)
        return super().get_command(ctx, name)


@click.group(cls=_LazyGroup)
def main() -> None:
    """A dispatcher that pushes txns to workers on aged copies of their queue figures."""


@main.command()
@_config_option
@click.option("--each-txn", is_flag=True, help="Log each txn's postings and answers too.")
@click.option("--talk", is_flag=True, help="Speak to the peers that the file names, by UDP.")
@click.option("--fleet", is_flag=True, help="Join the fleet that the file names, by UDP.")
def serve(config: str, each_txn: bool, talk: bool, fleet: bool) -> None:
    """Run one scheduler until SIGTERM.

    On SIGHUP the file is read again: discovery's address and the limits take effect at once, a bad file
    changes nothing, and what else changed is logged as needing a restart.
    """
    sink = LogWriter(sys.__stdout__.fileno())
    try:
        startup = read_config(config, talk, fleet)
        gc.freeze()
        code = asyncio.run(run(startup, config, Log(startup.name, each_txn, sink), talk, fleet))
    except ValueError as problem:
        _exit_bad_config(problem)
    finally:
        sink.close(LOG_FLUSH_MS)
    sys.exit(code)


@main.command()
@_config_option
@click.option("--talk", is_flag=True, help="As it would be read for `serve --talk`.")
@click.option("--fleet", is_flag=True, help="As it would be read for `serve --fleet`.")
def check(config: str, talk: bool, fleet: bool) -> None:
    """Read a configuration and print a summary, or what is invalid."""
    try:
        startup = read_config(config, talk, fleet)
    except ValueError as problem:
        _exit_bad_config(problem)
    settings, limits = startup.settings, startup.limits
    click.echo(f"{startup.name} listens on {startup.listen[0]}:{startup.listen[1]}")
    if startup.console is not None:
        click.echo(f"operators call {startup.console[0]}:{startup.console[1]}")
    click.echo(f"schemes: {', '.join(settings.schemes)}; schedulers: {settings.config.schedulers}")
    if startup.peers:
        click.echo(
            f"speaks to {len(startup.peers) - 1} peers, listens on {startup.peers[settings.config.position]}"
        )
    if startup.fleet is not None:
        own = startup.fleet.peers[startup.fleet.name]
        click.echo(
            f"in a fleet of {len(startup.fleet.peers)}, voters {', '.join(startup.fleet.voters)}, at {own}"
        )
    click.echo(f"sockets: {limits.clients} for clients, {limits.worker_connections} for workers")


@main.command("version")
def print_version() -> None:
    """Print the version."""
    click.echo(sableford.__version__)
