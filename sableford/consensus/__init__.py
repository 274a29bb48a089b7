"""Replicated log: Raft with pre-vote, membership changes and snapshots, and log files that detect damage."""
