"""Simulator protocol: framing, ids, units and scheduler instances."""
