"""Test harness: runs real scheduler processes against stubs and injects faults. Loopback only."""
