"""Error responses that an edge creates itself."""

import orjson

from sableford.edge.authentication import SCHEME
from sableford.transport.http import Answer


def refused(reason: str, retry_after_s: int = 1) -> Answer:
    """503: the message was not accepted and never runs. Tells the client when to retry."""
    return Answer(503, orjson.dumps({"reason": reason}), (("Retry-After", str(retry_after_s)),))


def unauthorized() -> Answer:
    """401: the key is missing or unknown. The response does not repeat it."""
    return Answer(401, b'{"reason":"a known key is wanted"}', (("WWW-Authenticate", SCHEME),))
