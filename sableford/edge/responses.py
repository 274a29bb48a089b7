"""Error responses that an edge creates itself."""

import orjson

from sableford.edge.authentication import SCHEME
from sableford.transport.http import HttpResponse


def refused(reason: str, retry_after_s: int = 1) -> HttpResponse:
    """503: the message was not accepted and never runs. Tells the client when to retry."""
    return HttpResponse(503, orjson.dumps({"reason": reason}), (("Retry-After", str(retry_after_s)),))


def unauthorized() -> HttpResponse:
    """401: the key is missing or unknown. The response does not repeat it."""
    return HttpResponse(401, b'{"reason":"a known key is wanted"}', (("WWW-Authenticate", SCHEME),))
