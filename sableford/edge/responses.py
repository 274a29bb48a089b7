"""Answers that an edge gives itself, without a store's word."""

import orjson

from sableford.edge.authentication import SCHEME
from sableford.transport.http import Answer


def refused(why: str, retry_after_s: int = 1) -> Answer:
    """Not taken, and never run: when to come back."""
    return Answer(503, orjson.dumps({"reason": why}), (("Retry-After", str(retry_after_s)),))


def unauthorized() -> Answer:
    """No key that is known. Which one came is not said."""
    return Answer(401, b'{"reason":"a known key is wanted"}', (("WWW-Authenticate", SCHEME),))
