"""Simulations of the replicated log: seeded fault walks, exhaustive exploration of a small model, growth."""
