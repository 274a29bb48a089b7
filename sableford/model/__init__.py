"""The core's types: what comes in, what goes out, and what is read at start."""

from sableford.model.effects import CallOff, Decline, Effect, Post, Probe, Reverse, Wake
from sableford.model.events import (
    Ended,
    Ending,
    Event,
    Lapsed,
    Listed,
    Progressed,
    Roster,
    Sampled,
    Standing,
    Started,
    Taken,
    Woken,
)
from sableford.model.terms import Account, Duties, Repeats, Scheme, Scope, Tariff, Terms

__all__ = [
    "Account",
    "CallOff",
    "Decline",
    "Duties",
    "Effect",
    "Ended",
    "Ending",
    "Event",
    "Lapsed",
    "Listed",
    "Post",
    "Probe",
    "Progressed",
    "Repeats",
    "Reverse",
    "Roster",
    "Sampled",
    "Scheme",
    "Scope",
    "Standing",
    "Started",
    "Taken",
    "Tariff",
    "Terms",
    "Wake",
    "Woken",
]
