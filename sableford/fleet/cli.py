"""`sableford fleet`: shows the state of the fleet as one scheduler sees it, queried from its console."""

import http.client
import json
import sys

import click

TIMEOUT_S = 2.0  # of the console request


@click.group()
def fleet() -> None:
    """Inspect the fleet of schedulers."""


@fleet.command()
@click.option("--door", required=True, metavar="HOST:PORT", help="Address of a scheduler's console.")
@click.option("--json", "as_json", is_flag=True, help="Print the full status as one JSON object.")
def show(door: str, as_json: bool) -> None:
    """Show members, voters, leader and commit indexes as that scheduler sees them."""
    try:
        connection = http.client.HTTPConnection(door, timeout=TIMEOUT_S)
        connection.request("GET", "/fleet")
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, http.client.HTTPException) as problem:
        click.echo(f"sableford: {door}: {problem}", err=True)
        sys.exit(2)
    if response.status != 200:
        click.echo(f"sableford: {door}: {text.strip()}", err=True)
        sys.exit(1)
    click.echo(text.strip() if as_json else "\n".join(table(json.loads(text))))


def table(status: dict) -> list[str]:
    """Lines for the queried scheduler, each other member and the replicated log."""
    if "name" not in status:
        return ["not in the fleet yet: its address is not free"]
    if "failed" in status:
        return [f"{status['name']}: the fleet's part has failed: {status['failed']}"]
    record = status.get("record", {})
    voters = record.get("voters", {})
    lines = [f"{'member':12} {'state':8} {'for s':>8} {'incarnation':>11} {'record':>8}  votes, suspected by"]
    own_line = (
        f"{status['name']:12} {'itself':8} {'':8} {status['incarnation']:11} {record.get('commit', 0):8}"
    )
    lines.append(
        own_line
        + ("  votes" if status["name"] in voters else "")
        + (f"  late {status['late']}" if status["late"] else "")
    )
    for member in sorted(status["members"], key=lambda member: member["name"]):
        age = (
            f"{(status['now'] - member['since']) / 1000.0:8.1f}" if member["incarnation"] >= 0 else f"{'':8}"
        )
        suspected_by = ", ".join(member["suspected_by"])
        roles = [
            role
            for role, holds in (
                ("votes", member["name"] in voters),
                ("leads", member["name"] == record.get("leader")),
            )
            if holds
        ]
        line = (
            f"{member['name']:12} {member['state']:8} {age} {member['incarnation']:11} {member['record']:8}  "
        )
        lines.append((line + " ".join([*roles, suspected_by])).rstrip())
    if record:
        lines.append(
            f"record: {record['standing']} ({record['means']}), leader {record['leader'] or 'none'}, "
            f"term {record['term']}, agreed {record['commit']}, held {record['last']}, kept {record['kept']}"
        )
        if record["stopped"]:
            lines.append(f"STOPPED: {record['stopped']}")
    if status["disk"]:
        lines.append(f"DISK: {status['disk']}")
    return lines
