"""What two processes of one scheduler say to each other, and what follows for each.

It owns the form of a word, the merging of calls by hand, and who takes the turns at cold workers. It must
never touch a file or a clock.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

import msgspec

from sableford.learned_state import LearnedState
from sableford.net.mail import Rule

FORMAT = 1  # of a word; another one's is not read
MOST_WORD = 4_194_304  # bytes: the longest list
AHEAD = (
    60_000.0  # ms a call's time may lie ahead of the reader's clock; one further ahead would hold for ever
)
FORGET = 3_600_000.0  # ms a call back is remembered: no word from before it is still about by then

Stage = IntEnum("Stage", "STARTING SERVING LEAVING")


class Word(msgspec.Struct):
    """What one process says of itself."""

    format: int
    born: float
    stage: int
    holds: bool  # the turns at cold workers
    rules: dict[str, tuple[bool, float]] = {}
    listing: msgspec.Raw = msgspec.Raw(b"null")
    legacy: LearnedState = msgspec.field(default_factory=LearnedState)


class Other(NamedTuple):
    """Another process that lives; without a word only that is known."""

    token: str
    word: Word | None


_decoder = msgspec.json.Decoder(Word)


def read_word(text: bytes) -> Word | None:
    """None for what is torn, too large, of another format or senseless.

    >>> read_word(b'{"format":1,"born":5,"stage":2,"holds":false}').stage, read_word(b'{"format":1,"bo')
    (2, None)
    >>> read_word(b'{"format":9,"born":5,"stage":2,"holds":false}')
    """
    try:
        word = _decoder.decode(text) if len(text) <= MOST_WORD else None
    except msgspec.MsgspecError:
        return None
    return word if word is not None and word.format == FORMAT and word.stage in list(Stage) else None


def called(rules: dict[str, Rule], rule: Rule) -> Rule | None:
    """What a call changes: two calls out need one back, and back without out changes nothing.

    >>> called({}, Rule("a", False, 5.0)), called({"a": Rule("a", True, 5.0)}, Rule("a", True, 6.0))
    (None, None)
    >>> called({"a": Rule("a", True, 7.0)}, Rule("a", False, 6.0)).at > 7.0  # a clock set back
    True
    """
    before = rules.get(rule.worker)
    if rule.out == (before is not None and before.out):
        return None
    return rule if before is None or rule.at > before.at else rule._replace(at=before.at + 1.0)


def merged(rules: dict[str, Rule], word: Word, now: float) -> list[Rule]:
    """The rules of another's word that are later than the own ones; of two at one time the worker is out.

    >>> theirs = Word(1, 0.0, 2, False, {"a": (False, 6.0), "b": (True, 1.0)})
    >>> merged({"a": Rule("a", True, 5.0)}, theirs, 9.0)
    [Rule(worker='a', out=False, at=6.0), Rule(worker='b', out=True, at=1.0)]
    >>> merged({"a": Rule("a", False, 7.0), "b": Rule("b", True, 1.0)}, theirs, 9.0)
    []
    """
    told = [Rule(worker, out, at) for worker, (out, at) in word.rules.items()]
    return [
        rule
        for rule in told
        if now - FORGET < rule.at < now + AHEAD or (rule.out and rule.at < now)
        if (own := rules.get(rule.worker)) is None or (rule.at, rule.out) > (own.at, own.out)
    ]


def kept(rules: dict[str, Rule], now: float) -> dict[str, tuple[bool, float]]:
    """What is written of them: all that are out, and calls back that another may not have heard of."""
    return {rule.worker: (rule.out, rule.at) for rule in rules.values() if rule.out or rule.at > now - FORGET}


def stands_beside(others: Iterable[Other]) -> bool:
    """Whether another one serves."""
    return any(other.word is not None and other.word.stage == Stage.SERVING for other in others)


def holds(stage: int, born: float, token: str, held: bool, others: list[Other]) -> bool:
    """Whether the turns at cold workers are this process's own from now on; never two processes' at once.

    >>> old, new = Other("5-1", Word(1, 5.0, 2, True)), Other("9-1", Word(1, 9.0, 2, False))
    >>> holds(2, 5.0, "5-1", True, [new]), holds(2, 9.0, "9-1", False, [old]), holds(2, 9.0, "9-1", False, [])
    (False, False, True)
    """
    words = [(other.word, other.token) for other in others if other.word is not None]
    younger = any(word.stage == Stage.SERVING and (word.born, at) > (born, token) for word, at in words)
    if held:
        return not younger
    known = len(words) == len(others) and not any(word.holds for word, _ in words)
    return stage == Stage.SERVING and not younger and known
