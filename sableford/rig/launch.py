"""One scheduler process as the rig starts it: `python -m sableford.rig.launch serve ...`.

It owns what the rig lays under a process: a clock that is off, a disk that lies. RIG names both, as JSON:
{"clock_ms": 30000, "disk": "torn", "seed": 7}. An ordinary start has neither and can't ask for them.
"""

import os
import time

import msgspec


class Laid(msgspec.Struct, forbid_unknown_fields=True):
    clock_ms: float = 0.0
    disk: str = ""
    seed: int = 0


def laid() -> Laid:
    return msgspec.json.decode(os.environ.get("RIG", "{}"), type=Laid)


def main() -> None:
    given = laid()
    if given.clock_ms:
        real, off = time.time, given.clock_ms / 1000.0
        time.time = lambda: real() + off
    if given.disk:
        from sableford.consensus import file_disk as disk
        from sableford.rig.disk import LyingDisk

        disk.open_disk = lambda folder: LyingDisk(given.disk, given.seed, folder)
    from sableford.net.cli import main as program

    program()


if __name__ == "__main__":
    main()
