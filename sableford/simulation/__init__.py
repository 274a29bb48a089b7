"""Simulations of parts of the system in virtual time: production code runs on simulated networks and disks
with injected faults, and checkers verify what clients observed. Production code does not import this package.
"""
