"""Communication between processes.

Typed messages in frames over persistent connections (`link`, `link_pool`, `peer_server`), HTTP/1.1 for
clients and workers (`http_server`, `http_client`), and the classification of attempts by whether the request
may have been executed (`verdict`).
"""

from sableford.transport.errors import (
    CallError,
    MalformedFrameError,
    MalformedResponseError,
    NotSentError,
    TransportError,
    UnansweredError,
    UnknownOperationError,
)
from sableford.transport.link import CallResult, IncomingMessage, Link, Response
from sableford.transport.link_pool import LinkPool
from sableford.transport.messages import PeerMessage, PeerRequest, PeerResponse
from sableford.transport.peer_server import PeerServer
from sableford.transport.verdict import Execution, Verdict

__all__ = [
    "CallError",
    "CallResult",
    "Execution",
    "IncomingMessage",
    "Link",
    "LinkPool",
    "MalformedFrameError",
    "MalformedResponseError",
    "NotSentError",
    "PeerMessage",
    "PeerRequest",
    "PeerResponse",
    "PeerServer",
    "Response",
    "TransportError",
    "UnansweredError",
    "UnknownOperationError",
    "Verdict",
]
