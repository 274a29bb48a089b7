"""Membership: SWIM with suspicion, incarnations, indirect probes and Lifeguard's local health."""
