"""Deterministic simulation of the control plane: stores, edges, operators and workers run on one event loop
in virtual time, with a simulated network and simulated disks. An invariant checker compares the responses
that callers get with the guarantees of the control plane.
"""
