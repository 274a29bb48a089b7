"""What can go wrong between two processes. Each error says whether the other side may have acted."""

from sableford.transport.verdict import Execution


class TransportError(Exception):
    """The base of all errors of this package."""


class MalformedFrameError(TransportError):
    """What came is no frame; the connection can't be trusted any further."""


class CallError(TransportError, ConnectionError):
    """A call that got no complete response. `execution` says what that proves."""

    execution = Execution.UNKNOWN


class NotSentError(CallError):
    """Not one byte of the call was handed to its connection: the other side has not heard of it."""

    execution = Execution.NOT_RUN


class UnansweredError(CallError):
    """The call was handed to its connection and got no complete response: it may have been executed."""


class MalformedResponseError(CallError):
    """A response came that is not of the form that the call asks for: it may have been executed."""


class UnknownOperationError(CallError):
    """The other side does not know such an operation: it has done nothing."""

    execution = Execution.NOT_RUN
