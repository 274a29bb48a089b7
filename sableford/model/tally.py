"""Rates over time: an exponentially decaying sum and a token bucket."""

from math import exp


class Tally:
    """An exponentially decaying sum, updated on read."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float) -> None:
        self.memory, self.sum, self.at = memory, 0.0, 0.0

    def read(self, now: float) -> float:
        self.sum, self.at = self.sum * exp((self.at - now) / self.memory), now
        return self.sum

    def add(self, now: float, amount: float = 1.0) -> None:
        self.sum = self.read(now) + amount


class Allowance:
    """A token bucket: `rate` per second, at most `most` saved up."""

    __slots__ = ("at", "most", "rate", "saved")

    def __init__(self, now: float, rate: float, most: float, saved: float) -> None:
        self.rate, self.most, self.at, self.saved = rate, most, now, saved

    def takes(self, now: float) -> bool:
        """Takes one token if there is one; returns whether there was."""
        spare = min(self.most, self.saved + (now - self.at) * self.rate / 1000.0)
        self.at, self.saved = now, spare - (spare >= 1.0)
        return spare >= 1.0
