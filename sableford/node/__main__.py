"""`python -m sableford.node`: the one program of all machines, by duty."""

import signal
import sys


def main() -> int:
    """SIGHUP says that the settings file has changed. Until the process listens for it (`runtime`) it is
    ignored, and not the end of the process: the file is looked at again anyway once it serves."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sableford.node.cli import main as run  # after it: this takes most of the start

    return run()


if __name__ == "__main__":
    sys.exit(main())
