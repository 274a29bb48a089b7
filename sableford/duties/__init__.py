"""Duties at the platform: calls about one subject that one store at a time makes (`docs/duties.md`)."""
