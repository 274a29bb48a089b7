"""What is measured over time: a decaying sum, and what a tenant has left of its allowance."""

from math import exp


class Tally:
    """A decaying sum, brought up to date when it is read."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float) -> None:
        self.memory, self.sum, self.at = memory, 0.0, 0.0

    def read(self, now: float) -> float:
        self.sum, self.at = self.sum * exp((self.at - now) / self.memory), now
        return self.sum

    def add(self, now: float, amount: float = 1.0) -> None:
        self.sum = self.read(now) + amount


class Allowance:
    """What may be sent at a rate a second, and how much of it is saved up."""

    __slots__ = ("at", "most", "rate", "saved")

    def __init__(self, now: float, rate: float, most: float, saved: float) -> None:
        self.rate, self.most, self.at, self.saved = rate, most, now, saved

    def takes(self, now: float) -> bool:
        """Whether one more is within it; then it counts."""
        spare = min(self.most, self.saved + (now - self.at) * self.rate / 1000.0)
        self.at, self.saved = now, spare - (spare >= 1.0)
        return spare >= 1.0
