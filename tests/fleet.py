"""Counting of events over the logs of several schedulers."""

import tempfile
from pathlib import Path

from click.testing import CliRunner

from tools.tally import Tally, main, read_events

N1 = """\
0.2 {"at":100.0,"node":"n1","event":"worker","worker":"s-1","standing":1,"since":99.0}
{"at":101.0,"node":"n1","event":"took","id":"a"}
{"at":101.1,"node":"n1","event":"post","id":"a","worker":"s-1","number":0}
{"at":101.1,"node":"n1","event":"line","id":"a","worker":"s-1","idle":0,"used":0}
{"at":101.3,"node":"n1","event":"back","id":"a","worker":"s-1","ending":"NO_CONNECTION"}
{"at":101.4,"node":"n1","event":"post","id":"a","worker":"s-2","number":1}
{"at":101.6,"node":"n1","event":"answer","id":"a","answer":"Refuse"}
no line of ours
{"at":101.9,"node":"n1","event":"po"""
N2 = """\
{"at":103.0,"node":"n2","event":"worker","worker":"s-1","standing":1,"since":99.0}
{"at":103.5,"node":"n2","event":"post","id":"a","worker":"s-1","number":0}
"""


def shows_logs_of_several_schedulers_are_counted_together_and_truncated_lines_are_skipped() -> None:
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "n1.log").write_text(N1)
        Path(folder, "n2.log").write_text(N2)
        tally = Tally(2.5)
        for event in read_events(Path(folder)):
            tally.add(event)
        first, second = tally.counts[0], tally.counts[1]
        assert first["took"] == first["post"] == first["post again"] == first["opened"] == 1, first
        assert first["no_connection"] == first["DECLINED"] == 1, first
        assert second["post"] == 1 and second["took"] == 0, second
        # By the age of the worker, as its scheduler knew it.
        assert tally.posts_by_age == {2: 1, 4: 1}, tally.posts_by_age
        shown = CliRunner().invoke(main, [folder])
        assert (
            shown.exit_code == 0 and "learned start, by its own time: 2 times, least" in shown.output
        ), shown
        assert "1.00, 1.00, 1.00, 4.00 s" in shown.output, shown.output
