"""Entry point of a scheduler process with injected faults: `python -m sableford.rig.launch serve ...`.

The environment variable RIG names a clock offset and a disk fault as JSON:
{"clock_ms": 30000, "disk": "torn", "seed": 7}. The normal entry point doesn't read it, so that a production
process can't be given such a fault.
"""

import os
import time

import msgspec


class InjectedFaults(msgspec.Struct, forbid_unknown_fields=True):
    clock_ms: float = 0.0
    disk: str = ""
    seed: int = 0


def injected_faults() -> InjectedFaults:
    return msgspec.json.decode(os.environ.get("RIG", "{}"), type=InjectedFaults)


def main() -> None:
    faults = injected_faults()
    if faults.clock_ms:
        system_time, offset_s = time.time, faults.clock_ms / 1000.0
        time.time = lambda: system_time() + offset_s
    if faults.disk:
        from sableford.consensus import file_disk as disk
        from sableford.rig.disk import FaultyDisk

        disk.open_disk = lambda folder: FaultyDisk(faults.disk, faults.seed, folder)
    from sableford.net.cli import main as scheduler_main

    scheduler_main()


if __name__ == "__main__":
    main()
