"""`sableford rig`: runs a plan file, or shows its schedule.

Exit codes: 0 if the run was sound; 1 if a rule was broken, a process ended unexpectedly or the rig itself ran
late; 2 for a bad file.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import click

from sableford.rig.harness import MAX_LATE_MS, Harness, Outcome, timeline
from sableford.rig.plan import Plan, load, read_plan, schedule

EXIT_UNSOUND, EXIT_BAD_FILE = 1, 2
MAX_SHOWN_VIOLATIONS = 20  # the first one matters most


def _load_plan(path: str, seed: int | None) -> Plan:
    try:
        return read_plan(Path(path).read_bytes(), seed)
    except OSError as error:
        _exit_bad_file(f"{path}: {error.strerror}")
    except ValueError as error:
        _exit_bad_file(f"{path}: {error}")


def _exit_bad_file(reason: str) -> None:
    click.echo(f"sableford: {reason}", err=True)
    sys.exit(EXIT_BAD_FILE)


@click.group()
def rig() -> None:
    """Run real schedulers against stubs and inject faults. Loopback only."""


@rig.command("plan")
@click.argument("file")
@click.option("--seed", type=int, help="Overrides the seed of the file.")
def show_plan(file: str, seed: int | None) -> None:
    """Show the faults and the load of a run of FILE."""
    plan = _load_plan(file, seed)
    for fault in schedule(plan):
        to = f" to {', '.join(fault.to)}" if fault.to else ""
        size = f" by {fault.size:g}" if fault.size else ""
        who = ", ".join(fault.who) or "all"
        click.echo(f"{fault.at_ms:8.0f} ms for {fault.for_ms:6.0f}  {fault.what} {fault.how}{who}{to}{size}")
    click.echo(f"{len(load(plan))} requests in {plan.seconds:g} s, {plan.schedulers} schedulers")


@rig.command("run")
@click.argument("file")
@click.option("--seed", type=int, help="Overrides the seed of the file.")
@click.option("--out", type=click.Path(), help="Keep logs and data here; the default is a temporary folder.")
@click.option("--json", "as_json", is_flag=True, help="The outcome as one JSON object.")
def run_plan(file: str, seed: int | None, out: str | None, as_json: bool) -> None:
    """Run FILE and show what was served and which rules were broken."""
    plan = _load_plan(file, seed)
    with tempfile.TemporaryDirectory() as folder:
        harness, outcome = asyncio.run(run_harness(plan, Path(out or folder)))
        if as_json:
            click.echo(json.dumps(outcome_as_dict(outcome)))
        else:
            _show(outcome, harness)
        if outcome.wrongs:
            click.echo("\n".join(timeline(harness, outcome.wrongs[0].at)), err=True)
            click.echo(f"again: python -m sableford rig run {file} --seed {plan.seed}", err=True)
    sys.exit(0 if outcome.sound() else EXIT_UNSOUND)


async def run_harness(plan: Plan, root: Path) -> tuple[Harness, Outcome]:
    harness = Harness(plan, root)
    return harness, await harness.run()


def outcome_as_dict(outcome: Outcome) -> dict:
    return outcome._asdict() | {
        "wrongs": [violation._asdict() for violation in outcome.wrongs],
        "spans": [span._asdict() for span in outcome.spans],
        "sound": outcome.sound(),
    }


def _show(outcome: Outcome, harness: Harness) -> None:
    click.echo("   from      to      due   served  in time  refused  postings   probes   (per second)")
    for span in outcome.spans:
        if span.end > span.start:
            rates = "".join(f"{rate:9.1f}" for rate in span[2:])
            click.echo(f"{span.start / 1000.0:7.2f} {span.end / 1000.0:7.2f}{rates}")
    click.echo(
        f"answers: {dict(sorted(harness.counts().items()))}; postings a request {outcome.postings:.3f}"
    )
    peak = f"{outcome.most_pushed:.2f} times its capacity"
    click.echo(f"peak load of a worker while warming up: {peak}; rig {outcome.late:.0f} ms late")
    for name, codes in outcome.ended.items():
        click.echo(f"ENDED {name} unexpectedly: {codes}")
    for violation in outcome.wrongs[:MAX_SHOWN_VIOLATIONS]:
        click.echo(f"BROKEN {violation.at:9.1f} rule {violation.rule}: {violation.about}: {violation.said}")
    if outcome.late > MAX_LATE_MS:
        click.echo("VOID: the rig itself ran late because the machine was too busy")
    click.echo("sound" if outcome.sound() else f"not sound: {len(outcome.wrongs)} broken")
