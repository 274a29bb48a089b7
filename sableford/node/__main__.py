"""`python -m sableford.node`: runs an edge or a store."""

import signal
import sys


def main() -> int:
    """Runs the command line.

    SIGHUP announces a changed settings file. It is ignored until its handler is installed (`runtime`): its
    default action would end the process. The file is read again anyway once the process serves."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sableford.node.cli import (
        main as run,  # imported late because the imports take most of the start-up time
    )

    return run()


if __name__ == "__main__":
    sys.exit(main())
