"""The record in simulated time: seeded walks, an explorer of all orders of a small model, growth."""
