"""Parses scenario files: titles, steps, ranges of names, options, and match counts of claims.

A file holds scenarios. Each begins with `== title` and has steps and, indented below a step, claims on its
effects: `[COUNT|<=COUNT|>=COUNT] PATTERN`; without a count, exactly one match.
"""

import re
from collections.abc import Iterable


def options(words: Iterable[str]) -> dict[str, float]:
    return {key: float(value) for key, _, value in (word.partition("=") for word in words) if value}


def expand_range(text: str) -> list[str]:
    """Expands a range of names.

    >>> expand_range("W8-W10 zone=1")
    ['W8 zone=1', 'W9 zone=1', 'W10 zone=1']
    """
    found = re.fullmatch(r"\s*(\D+)(\d+)-\1(\d+)(.*)", text)
    if not found:
        return [text]
    name, first, last, rest = found.groups()
    return [f"{name}{number}{rest}" for number in range(int(first), int(last) + 1)]


def bounds(text: str) -> tuple[str, int, int]:
    """Returns a claim's pattern and its least and greatest number of matches.

    >>> bounds("post *"), bounds("<=2 post *")
    (('post *', 1, 1), ('post *', 0, 2))
    """
    bound, _, pattern = text.partition(" ")
    if not re.fullmatch(r"[<>]?=?\d+", bound):
        return text, 1, 1
    count = int(bound.lstrip("<>="))
    return pattern, (0 if bound[0] == "<" else count), (10**9 if bound[0] == ">" else count)


def scenarios(text: str) -> dict[str, list[tuple[int, str]]]:
    """Returns the scenarios of a file by title.

    >>> scenarios("== one\\n0 wait\\n  0 *\\n")
    {'one': [(2, '0 wait'), (3, '  0 *')]}
    """
    found: dict[str, list[tuple[int, str]]] = {}
    here: list[tuple[int, str]] = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("== "):
            here = found[line[3:]] = []
        elif line.strip() and not line.startswith("#"):
            here.append((number, line))
    return found
