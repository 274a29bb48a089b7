"""The `sableford.node` program: its command line, and the runtime that all roles share."""
