"""Rates over time: an exponentially decaying sum and a token bucket."""

from math import exp


class DecayingSum:
    """An exponentially decaying sum, updated on read."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float) -> None:
        self.memory, self.sum, self.at = memory, 0.0, 0.0

    def read(self, now: float) -> float:
        self.sum, self.at = self.sum * exp((self.at - now) / self.memory), now
        return self.sum

    def add(self, now: float, amount: float = 1.0) -> None:
        self.sum = self.read(now) + amount


class TokenBucket:
    """A token bucket: `rate` per second, at most `burst` saved up."""

    __slots__ = ("at", "burst", "rate", "tokens")

    def __init__(self, now: float, rate: float, burst: float, tokens: float) -> None:
        self.rate, self.burst, self.at, self.tokens = rate, burst, now, tokens

    def take(self, now: float) -> bool:
        """Takes one token if there is one; returns whether there was."""
        available = min(self.burst, self.tokens + (now - self.at) * self.rate / 1000.0)
        self.at, self.tokens = now, available - (available >= 1.0)
        return available >= 1.0
