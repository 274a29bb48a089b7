"""Scheduling decisions of the data plane, one module per concern."""
