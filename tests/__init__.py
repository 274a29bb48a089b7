"""Scenarios of the core and asserts on the adapter; `python -m tests` plays them all."""
