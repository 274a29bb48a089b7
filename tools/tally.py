"""Counts over the logs of a fleet of schedulers that ran with `serve --each-txn`.

    python tools/tally.py DIRECTORY [--step 2.5]

It prints counts per time step, and how late the schedulers learned of each change of a worker; it doesn't
evaluate them.
"""

from collections import Counter, defaultdict
from pathlib import Path
from statistics import median

import click
import orjson


def read_events(place: Path) -> list[dict]:
    """All log entries of all schedulers, ordered by time. Other lines are skipped."""
    entries = []
    for path in sorted(place.glob("*.log")):
        for line in path.read_bytes().splitlines():
            start = line.find(b"{")
            try:
                entry = orjson.loads(line[start:]) if start >= 0 else None
            except orjson.JSONDecodeError:  # truncated when the process was killed
                continue
            if isinstance(entry, dict) and "event" in entry and "at" in entry:
                entries.append(entry)
    entries.sort(key=lambda entry: entry["at"])
    return entries


class Tally:
    """Counts of the fleet per time step."""

    def __init__(self, step: float) -> None:
        self.step, self.origin = step, 0.0
        self.counts: dict[int, Counter] = defaultdict(Counter)
        self.spans: dict[tuple[int, str], list[float]] = defaultdict(list)
        self.learned: dict[tuple[str, int, float], list[float]] = defaultdict(list)
        self.known_starts: dict[tuple[str, str], float] = {}
        self.posts_by_age: Counter = Counter()  # by the age of the worker in whole seconds
        self._taken_at: dict[tuple[str, str], float] = {}
        self._posted_at: dict[tuple[str, str], float] = {}

    def add(self, entry: dict) -> None:
        self.origin = self.origin or entry["at"]
        name, at, node = entry["event"], entry["at"] - self.origin, entry["node"]
        count = self.counts[int(at / self.step)]
        txn = (node, entry.get("id", ""))
        match name:
            case "took":
                count["took"] += 1
                self._taken_at[txn] = at
            case "post":
                self._post(entry, count, txn, at)
            case "line":
                count["opened" if not entry["used"] else "used again"] += 1
            case "back":
                count[entry["ending"].lower()] += 1
                if (since := self._posted_at.get(txn)) is not None and entry["ending"] == "SETTLED":
                    self.spans[int(at / self.step), "run"].append(at - since)
            case "answer":
                count[{"Refuse": "DECLINED", "Fail": "REVERSED"}[entry["answer"]]] += 1
            case "worker":
                key = (entry["worker"], entry["standing"], entry["since"])
                self.learned[key].append(at)
                self.known_starts[node, entry["worker"]] = entry["since"]
            case _:
                count[name] += 1

    def _post(self, entry: dict, count: Counter, txn: tuple[str, str], at: float) -> None:
        count["post" if not entry["number"] else "post again"] += 1
        if not entry["number"]:
            self.spans[int(at / self.step), "held"].append(at - self._taken_at.get(txn, at))
        self._posted_at[txn] = at
        since = self.known_starts.get((txn[0], entry["worker"]), 0.0)
        if since > 0.0:
            age = entry["at"] - since
            count["to a started one"] += 1
            self.posts_by_age[int(age)] += 1

    def show(self) -> None:
        skipped = {"belief", "closed", "ready", "serving", "worker"}
        names = sorted({name for count in self.counts.values() for name in count} - skipped)
        for at in sorted(self.counts):
            count = self.counts[at]
            spans = [
                f"{what} {1000 * median(values):.0f} ms"
                for what in ("held", "run")
                if (values := self.spans.get((at, what)))
            ]
            counts = [f"{name} {count[name]}" for name in names if count[name]]
            click.echo(f"{at * self.step:6.1f} s  " + ", ".join(counts + spans))
        click.echo("posted to workers by seconds since their start: " + _format_counts(self.posts_by_age))
        self._show_learned()

    def _show_learned(self) -> None:
        """Prints how late schedulers learned of each start of a worker, measured from that start, and of its
        draining or removal, measured from when the first scheduler learned of it."""
        delays = defaultdict(list)
        for (_, standing, since), times in self.learned.items():
            first = min(times)
            for at in times:
                start = since - self.origin
                if standing == 1 and since > 0.0:
                    delays["start, by its own time"].append(at - start)
                elif standing != 1:
                    delays[{0: "gone", 2: "draining"}[standing] + ", by the first told"].append(at - first)
        for what, values in sorted(delays.items()):
            values.sort()
            quantiles = ", ".join(
                f"{values[int(part * (len(values) - 1))]:.2f}" for part in (0, 0.5, 0.95, 1)
            )
            click.echo(f"learned {what}: {len(values)} times, least, median, 95th, most: {quantiles} s")


def _format_counts(counts: Counter) -> str:
    return " ".join(f"{at}:{counts[at]}" for at in sorted(counts))


@click.command()
@click.argument("place", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--step", default=2.5, show_default=True, help="Seconds to a row.")
def main(place: Path, step: float) -> None:
    """Count what all schedulers did, from their logs."""
    tally = Tally(step)
    for entry in read_events(place):
        tally.add(entry)
    tally.show()


if __name__ == "__main__":
    main()
