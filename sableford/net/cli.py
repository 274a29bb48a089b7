"""The command line, and the order in which the actors start and end.

It owns the exit code. It must never do an actor's work.
"""

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
from sableford.net.berth import Berth, Keeper, Reread, read_berth
from sableford.net.console import Console
from sableford.net.desk import Desk
from sableford.net.gate import Gate
from sableford.net.handover import Handover
from sableford.net.log import Log
from sableford.net.mail import Clock, Leave, Mailbox, Turn
from sableford.net.peers import Peers
from sableford.net.roster import Roster, first_list, inherited

BAD_START, FAILED = 2, 70
LAST_LINES = 200.0  # ms for the last lines of the log to be read: an end waits for no reader


def listening(field: str, place: tuple[str, int], berth: Berth) -> socket.socket:
    """A listening socket; a kill a moment ago does not keep the address taken."""
    family = socket.AF_INET6 if ":" in place[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if berth.console is not None and field == "listen":  # the next version comes up beside this one
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # What a connection may hold unread is bounded there too, and handed down to each.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, berth.limits.chunk)
        listener.bind(place)
        listener.listen(berth.limits.backlog)
    except OSError as problem:
        listener.close()
        raise ValueError(f"{field}: {place[0]}:{place[1]}: {problem.strerror}") from problem
    listener.setblocking(False)
    return listener


async def run(berth: Berth, path: str, log: Log, talk: bool = False, fleet: bool = False) -> int:
    """Start every actor, and end when the gate has."""
    loop, charter = asyncio.get_running_loop(), berth.charter
    loop.set_exception_handler(
        lambda loop, told: log.say("unhandled", **{k: repr(v) for k, v in told.items()})
    )
    clock = Clock(loop)
    place = "{}:{}".format(*berth.listen) if berth.console is not None else None
    handover = Handover(berth.name, place, clock, berth.limits, log)
    rules, processes, kept = handover.begin()
    berth = berth._replace(limits=berth.shared(processes) if processes > 1 else berth.limits)
    limits = berth.limits
    listener = listening("listen", berth.listen, berth)
    first, revision = first_list(berth.known, charter, log)
    if kept is not None and (later := inherited(kept.listing, charter, log)) is not None:
        first, revision = later, None
    roster = Roster(berth.discovery, revision, limits, charter, log)
    peers = Peers(berth.peers, charter.config.position, limits, log)
    doors = Mailbox()
    one = joined(berth.fleet, berth.seed, clock, limits, log, doors) if berth.fleet is not None else None
    spoken = one.mail if one is not None else peers.mail
    desk = Desk(charter, berth.seed, roster.mail, clock, limits, log, spoken, doors)
    gate = Gate(listener, desk.mail, clock, limits, charter, log)
    if handover.on():
        desk.inherit(handover.mail, kept.legacy if kept is not None else None)
    keeper = Keeper(path, log, processes, talk, fleet)
    for told in (*rules, Turn(handover.holds()), first):  # lie there before any txn can
        desk.mail.put(told)
    console = Console(doors, handover.mail, clock, limits, log, one.mail if one is not None else None)
    if berth.console is not None:
        console.open(listening("console", berth.console, berth))

    def leave() -> None:
        console.mail.put_first(Leave())
        if one is not None:
            one.mail.put(Leave())
        handover.mail.put_first(Leave())  # which tells the gate whether another process serves

    for stop in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop, leave)
    loop.add_signal_handler(signal.SIGHUP, keeper.mail.put, Reread())
    others = (peers.mail, roster.mail, desk.mail, gate.mail)
    actors = {
        loop.create_task(desk.run(), name="desk"): desk,
        loop.create_task(roster.run(desk.mail), name="roster"): roster,
        loop.create_task(gate.run(), name="gate"): gate,
        loop.create_task(console.run(), name="console"): console,
        loop.create_task(handover.run(desk.mail, gate.mail, keeper.mail), name="handover"): handover,
        loop.create_task(keeper.run(berth, others), name="keeper"): keeper,
        loop.create_task(peers.run(desk.mail), name="peers"): peers,
    }
    if one is not None:
        actors[loop.create_task(one.run(desk.mail), name="fleet")] = one
    log.say("serving", listen=berth.listen, console=berth.console, clients=limits.clients, lines=limits.lines)
    done, _ = await asyncio.wait(actors, return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        if (problem := task.exception()) is not None:
            cause = repr(problem.__cause__ or problem)
            log.say("actor_failed", actor=task.get_name(), problem=repr(problem), cause=cause)
            await asyncio.sleep(limits.last / 1000.0)
            return FAILED
    log.say("left")
    await handover.close()
    return 0


def joined(*given: object) -> object:
    """The fleet's actor, which an ordinary start doesn't pay for."""
    return import_module("sableford.fleet.actor").FleetActor(*given)


def _told(problem: ValueError) -> None:
    click.echo(f"sableford: {problem}".replace("\n", " "), err=True)
    sys.exit(BAD_START)


_path = click.option(
    "--config",
    envvar="BALANCER_CONFIG",
    required=True,
    metavar="FILE",
    help="What the scheduler is told, as JSON.",
)


class _Lazy(click.Group):
    """Commands that an ordinary start must not pay for are imported when they are called."""

    LATER: ClassVar = {"rig": "sableford.rig.cli", "fleet": "sableford.fleet.cli"}

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.LATER])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name in self.LATER:
            return getattr(import_module(self.LATER[name]), name)
        return super().get_command(ctx, name)


@click.group(cls=_Lazy)
def main() -> None:
    """A dispatcher that pushes txns to workers on aged copies of their queue figures."""


@main.command()
@_path
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
        berth = read_berth(config, talk, fleet)
        gc.freeze()
        code = asyncio.run(run(berth, config, Log(berth.name, each_txn, sink), talk, fleet))
    except ValueError as problem:
        _told(problem)
    finally:
        sink.close(LAST_LINES)
    sys.exit(code)


@main.command()
@_path
@click.option("--talk", is_flag=True, help="As it would be read for `serve --talk`.")
@click.option("--fleet", is_flag=True, help="As it would be read for `serve --fleet`.")
def check(config: str, talk: bool, fleet: bool) -> None:
    """Read a configuration and say what was understood, or what is wrong."""
    try:
        berth = read_berth(config, talk, fleet)
    except ValueError as problem:
        _told(problem)
    charter, limits = berth.charter, berth.limits
    click.echo(f"{berth.name} listens on {berth.listen[0]}:{berth.listen[1]}")
    if berth.console is not None:
        click.echo(f"operators call {berth.console[0]}:{berth.console[1]}")
    click.echo(f"schemes: {', '.join(charter.schemes)}; schedulers: {charter.config.schedulers}")
    if berth.peers:
        click.echo(
            f"speaks to {len(berth.peers) - 1} peers, listens on {berth.peers[charter.config.position]}"
        )
    if berth.fleet is not None:
        place = berth.fleet.peers[berth.fleet.name]
        click.echo(
            f"in a fleet of {len(berth.fleet.peers)}, voters {', '.join(berth.fleet.voters)}, at {place}"
        )
    click.echo(f"sockets: {limits.clients} for clients, {limits.lines} for workers")


@main.command("version")
def told_version() -> None:
    """Print the version."""
    click.echo(sableford.__version__)
