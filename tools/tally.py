"""Counts over the logs of a whole fleet of schedulers, of a day run with `serve --each-txn`.

    python tools/tally.py DIRECTORY [--step 2.5]

It owns reading logs and must never judge them: it prints counts, and when each fact was learned.
"""

from collections import Counter, defaultdict
from pathlib import Path
from statistics import median

import click
import orjson


def events(place: Path) -> list[dict]:
    """All lines of all schedulers in time; what is no line of ours is passed over."""
    found = []
    for path in sorted(place.glob("*.log")):
        for line in path.read_bytes().splitlines():
            start = line.find(b"{")
            try:
                told = orjson.loads(line[start:]) if start >= 0 else None
            except orjson.JSONDecodeError:  # cut off by a kill
                continue
            if isinstance(told, dict) and "event" in told and "at" in told:
                found.append(told)
    found.sort(key=lambda told: told["at"])
    return found


class Tally:
    """What the fleet did in each step of time."""

    def __init__(self, step: float) -> None:
        self.step, self.origin = step, 0.0
        self.counts: dict[int, Counter] = defaultdict(Counter)
        self.spans: dict[tuple[int, str], list[float]] = defaultdict(list)
        self.learned: dict[tuple[str, int, float], list[float]] = defaultdict(list)
        self.known: dict[tuple[str, str], float] = {}
        self.sends: Counter = Counter()  # to a worker, by whole seconds since its start
        self._took: dict[tuple[str, str], float] = {}
        self._posted: dict[tuple[str, str], float] = {}

    def read(self, told: dict) -> None:
        self.origin = self.origin or told["at"]
        name, at, node = told["event"], told["at"] - self.origin, told["node"]
        count = self.counts[int(at / self.step)]
        txn = (node, told.get("id", ""))
        match name:
            case "took":
                count["took"] += 1
                self._took[txn] = at
            case "post":
                self._post(told, count, txn, at)
            case "line":
                count["opened" if not told["used"] else "used again"] += 1
            case "back":
                count[told["ending"].lower()] += 1
                if (since := self._posted.get(txn)) is not None and told["ending"] == "SETTLED":
                    self.spans[int(at / self.step), "run"].append(at - since)
            case "answer":
                count[{"Refuse": "DECLINED", "Fail": "REVERSED"}[told["answer"]]] += 1
            case "worker":
                key = (told["worker"], told["standing"], told["since"])
                self.learned[key].append(at)
                self.known[node, told["worker"]] = told["since"]
            case _:
                count[name] += 1

    def _post(self, told: dict, count: Counter, txn: tuple[str, str], at: float) -> None:
        count["post" if not told["number"] else "post again"] += 1
        if not told["number"]:
            self.spans[int(at / self.step), "held"].append(at - self._took.get(txn, at))
        self._posted[txn] = at
        since = self.known.get((txn[0], told["worker"]), 0.0)
        if since > 0.0:
            age = told["at"] - since
            count["to a started one"] += 1
            self.sends[int(age)] += 1

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
            told = [f"{name} {count[name]}" for name in names if count[name]]
            click.echo(f"{at * self.step:6.1f} s  " + ", ".join(told + spans))
        click.echo("posted to workers by seconds since their start: " + _line(self.sends))
        self._show_learned()

    def _show_learned(self) -> None:
        """How late each kind of fact reached the schedulers, from the first of them on and from its time."""
        late = defaultdict(list)
        for (_, standing, since), times in self.learned.items():
            first = min(times)
            for at in times:
                true = since - self.origin
                if standing == 1 and since > 0.0:
                    late["start, by its own time"].append(at - true)
                elif standing != 1:
                    late[{0: "gone", 2: "draining"}[standing] + ", by the first told"].append(at - first)
        for what, values in sorted(late.items()):
            values.sort()
            ends = ", ".join(f"{values[int(part * (len(values) - 1))]:.2f}" for part in (0, 0.5, 0.95, 1))
            click.echo(f"learned {what}: {len(values)} times, least, median, 95th, most: {ends} s")


def _line(counts: Counter) -> str:
    return " ".join(f"{at}:{counts[at]}" for at in sorted(counts))


@click.command()
@click.argument("place", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--step", default=2.5, show_default=True, help="Seconds to a row.")
def main(place: Path, step: float) -> None:
    """Count what all schedulers of a day did, from their logs."""
    tally = Tally(step)
    for told in events(place):
        tally.read(told)
    tally.show()


if __name__ == "__main__":
    main()
