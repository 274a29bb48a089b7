"""Errors between two processes. Each tells whether the peer may have executed the request."""

from sableford.transport.verdict import Execution


class TransportError(Exception):
    """Base class of all errors of this package."""


class MalformedFrameError(TransportError):
    """The received bytes are not a frame; the rest of the connection can't be parsed."""


class CallError(TransportError, ConnectionError):
    """A call got no complete response. `execution` tells whether it may have been executed."""

    execution = Execution.UNKNOWN


class NotSentError(CallError):
    """No byte of the call was written to the connection: the peer has not received it."""

    execution = Execution.NOT_RUN


class UnansweredError(CallError):
    """The call was written to the connection and got no complete response: it may have been executed."""


class MalformedResponseError(CallError):
    """The response can't be decoded: the call may have been executed."""


class UnknownOperationError(CallError):
    """The peer does not know the operation, and has done nothing."""

    execution = Execution.NOT_RUN
