"""`python -m sableford`: runs a scheduler on real sockets; `sableford.net.cli` defines the command line."""

from sableford.net.cli import main

main(prog_name="sableford")
