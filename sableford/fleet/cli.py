"""`sableford fleet`: how the fleet looks from one scheduler.

It owns the words on the terminal. It asks one operators' door, which answers from what its process holds.
"""

import http.client
import json
import sys

import click

WAIT = 2.0  # s for a door to answer


@click.group()
def fleet() -> None:
    """The schedulers as a fleet."""


@fleet.command()
@click.option("--door", required=True, metavar="HOST:PORT", help="A scheduler's operators' door.")
@click.option("--json", "as_json", is_flag=True, help="All of it as one JSON object.")
def show(door: str, as_json: bool) -> None:
    """Who is there, who votes and leads, and how far each is, as that scheduler holds it."""
    try:
        line = http.client.HTTPConnection(door, timeout=WAIT)
        line.request("GET", "/fleet")
        answer = line.getresponse()
        text = answer.read().decode()
    except (OSError, http.client.HTTPException) as problem:
        click.echo(f"sableford: {door}: {problem}", err=True)
        sys.exit(2)
    if answer.status != 200:
        click.echo(f"sableford: {door}: {text.strip()}", err=True)
        sys.exit(1)
    click.echo(text.strip() if as_json else "\n".join(table(json.loads(text))))


def table(told: dict) -> list[str]:
    """A line for the process that was asked, one for each other, one for the record."""
    if "name" not in told:
        return ["not in the fleet yet: its address is not free"]
    if "failed" in told:
        return [f"{told['name']}: the fleet's part has failed: {told['failed']}"]
    record = told.get("record", {})
    voters = record.get("voters", {})
    lines = [f"{'member':12} {'state':8} {'for s':>8} {'incarnation':>11} {'record':>8}  votes, suspected by"]
    own = f"{told['name']:12} {'itself':8} {'':8} {told['incarnation']:11} {record.get('commit', 0):8}"
    lines.append(
        own
        + ("  votes" if told["name"] in voters else "")
        + (f"  late {told['late']}" if told["late"] else "")
    )
    for one in sorted(told["members"], key=lambda one: one["name"]):
        age = f"{(told['now'] - one['since']) / 1000.0:8.1f}" if one["incarnation"] >= 0 else f"{'':8}"
        by = ", ".join(one["suspected_by"])
        marks = [
            word
            for word, so in (("votes", one["name"] in voters), ("leads", one["name"] == record.get("leader")))
            if so
        ]
        line = f"{one['name']:12} {one['state']:8} {age} {one['incarnation']:11} {one['record']:8}  "
        lines.append((line + " ".join([*marks, by])).rstrip())
    if record:
        lines.append(
            f"record: {record['standing']} ({record['means']}), leader {record['leader'] or 'none'}, "
            f"term {record['term']}, agreed {record['commit']}, held {record['last']}, kept {record['kept']}"
        )
        if record["stopped"]:
            lines.append(f"STOPPED: {record['stopped']}")
    if told["disk"]:
        lines.append(f"DISK: {told['disk']}")
    return lines
