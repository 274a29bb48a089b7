"""Duties: reports to the platform, sent by one store at a time under a fencing token (`docs/duties.md`)."""
