"""`python -m sableford.trailhead`: the one program of all machines, by duty."""

import sys

from sableford.trailhead.cli import main

if __name__ == "__main__":
    sys.exit(main())
