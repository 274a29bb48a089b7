"""`sableford rig`: run a file, or say what it would do.

It owns the words on the terminal and the exit code: 0 where nothing was broken, 1 where something was, 2
for a bad file.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import click

from sableford.rig.plan import Plan, load, read_plan, schedule
from sableford.rig.world import LATE, Outcome, World, story

BROKEN, BAD_FILE = 1, 2
MOST_WRONGS = 20  # shown; the first is what counts


def _read(path: str, seed: int | None) -> Plan:
    try:
        return read_plan(Path(path).read_bytes(), seed)
    except OSError as problem:
        _bad(f"{path}: {problem.strerror}")
    except ValueError as problem:
        _bad(f"{path}: {problem}")


def _bad(why: str) -> None:
    click.echo(f"sableford: {why}", err=True)
    sys.exit(BAD_FILE)


@click.group()
def rig() -> None:
    """Several real schedulers among stand-ins, with faults between them. Loopback only."""


@rig.command("plan")
@click.argument("file")
@click.option("--seed", type=int, help="In place of the file's own.")
def show_plan(file: str, seed: int | None) -> None:
    """Say which faults a run of FILE would bring, and how much load."""
    plan = _read(file, seed)
    for fault in schedule(plan):
        to = f" to {', '.join(fault.to)}" if fault.to else ""
        size = f" by {fault.size:g}" if fault.size else ""
        who = ", ".join(fault.who) or "all"
        click.echo(f"{fault.at_ms:8.0f} ms for {fault.for_ms:6.0f}  {fault.what} {fault.how}{who}{to}{size}")
    click.echo(f"{len(load(plan))} requests in {plan.seconds:g} s, {plan.schedulers} schedulers")


@rig.command("run")
@click.argument("file")
@click.option("--seed", type=int, help="In place of the file's own.")
@click.option("--out", type=click.Path(), help="A folder for logs and folders; else one that goes.")
@click.option("--json", "as_json", is_flag=True, help="The outcome as one JSON object.")
def run_plan(file: str, seed: int | None, out: str | None, as_json: bool) -> None:
    """Run FILE to its end and say what was served, and which rules were broken."""
    plan = _read(file, seed)
    with tempfile.TemporaryDirectory() as folder:
        world, outcome = asyncio.run(played(plan, Path(out or folder)))
        if as_json:
            click.echo(json.dumps(told(outcome)))
        else:
            _show(outcome, world)
        if outcome.wrongs:
            click.echo("\n".join(story(world, outcome.wrongs[0].at)), err=True)
            click.echo(f"again: python -m sableford rig run {file} --seed {plan.seed}", err=True)
    sys.exit(0 if outcome.sound() else BROKEN)


async def played(plan: Plan, root: Path) -> tuple[World, Outcome]:
    world = World(plan, root)
    return world, await world.run()


def told(outcome: Outcome) -> dict:
    return outcome._asdict() | {
        "wrongs": [wrong._asdict() for wrong in outcome.wrongs],
        "spans": [span._asdict() for span in outcome.spans],
        "sound": outcome.sound(),
    }


def _show(outcome: Outcome, world: World) -> None:
    click.echo("   from      to      due   served  in time  refused  postings   probes   (a second)")
    for span in outcome.spans:
        if span.end > span.start:
            figures = "".join(f"{figure:9.1f}" for figure in span[2:])
            click.echo(f"{span.start / 1000.0:7.2f} {span.end / 1000.0:7.2f}{figures}")
    click.echo(f"answers: {dict(sorted(world.counts().items()))}; postings a request {outcome.postings:.3f}")
    pushed = f"{outcome.most_pushed:.2f} of what it can do"
    click.echo(f"a cold worker was pushed to {pushed}; rig {outcome.late:.0f} ms late")
    for name, codes in outcome.ended.items():
        click.echo(f"ENDED {name} by itself: {codes}")
    for wrong in outcome.wrongs[:MOST_WRONGS]:
        click.echo(f"BROKEN {wrong.at:9.1f} rule {wrong.rule}: {wrong.about}: {wrong.said}")
    if outcome.late > LATE:
        click.echo("VOID: the rig itself ran late, the machine was too busy")
    click.echo("sound" if outcome.sound() else f"not sound: {len(outcome.wrongs)} broken")
