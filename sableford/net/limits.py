"""Sizes, counts and times of the real scheduler: one type, filled at start, handed down.

It owns every such number and must never be changed once filled, nor hold anything that bears on a decision.
"""

from typing import NamedTuple

RESERVED_DESCRIPTORS = 16  # descriptors: the listener, discovery, the loop's own, the log; some nine are used
MAX_OPERATORS = 8  # at the console: staff and their tools, and some that connect and say nothing
CLOSING_FRACTION = 32  # one in so many is kept for what is just closing
CLIENT_FRACTION = (
    0.55  # of the rest: txns may take a third of all on either side, silent clients what is over
)
PROCESS_MB = 24  # MB of the process itself, with every connection at what it may hold unasked
BODY_FRACTION = 0.5  # of the memory beyond that: a body is held twice while it is handed on


class Limits(NamedTuple):
    """Times are milliseconds, sizes bytes."""

    clients: int  # connections from clients at once
    worker_connections: int  # connections to workers at once, dealt out evenly among them
    worker_idle: float  # an idle connection to a worker is closed by then
    connect: float  # a connection to a worker is given up by then
    max_body: int = 65_536  # of a request or an answer, as the protocol says
    max_head: int = 16_384  # request line and headers
    max_event_line: int = 524_288  # one line of a worker's stream: a body whose every byte is escaped
    max_listing: int = 4_194_304  # one answer of discovery: some ten thousand workers
    total_bodies: int = 16_777_216  # of requests under way, over what each may hold unasked
    small_body: int = 4096  # a body that needs no room granted; most txns are smaller
    max_discarded: int = (
        262_144  # read and thrown away after an answer that closes; then the sender has to wait
    )
    read_size: int = 16_384  # read from a socket at once; a reader holds twice this and the kernel's once
    backlog: int = 1024  # connections that wait to be accepted
    first_request: float = (
        2000.0  # from the connection's start until a first request is whole, and one is served
    )
    transfer: float = 2000.0  # for a later one from its first byte on, and for a client to take its answer
    transfer_when_full: float = 200.0  # the same where the limit on clients is reached and others wait
    rejection_pause: float = (
        100.0  # after a request turned away, before the next on the connection is looked at
    )
    max_time_left: float = 3_600_000.0  # a time left past this is senseless
    report_interval: float = 1000.0  # between two lines of the log on requests turned away
    late_wakeup: float = 100.0  # a wake-up later than this goes to the log: the core is not ours enough
    client_idle: float = 120_000.0  # a client's connection between requests
    poll_with_others: float = (
        50.0  # between looks at the files of another process that lives: well within a grace
    )
    poll_alone: float = 250.0  # and alone, for one that comes
    heartbeat: float = 1000.0  # between signs of life, which date the word of a dead process
    dead_state_valid: float = 10_000.0  # a dead process's word counts for so long after its last sign
    override_write: float = (
        300.0  # a caller waits so long for its call to be written; the yes follows all the same
    )
    shutdown_poll: float = (
        100.0  # asked to end, the disk has so long to say whether another one serves: two glances
    )
    drain_with_other: float = 1000.0  # after SIGTERM with another process serving, resting connections go
    operator_call: float = 2000.0  # for a caller at the console from connecting to the end of its call
    operator_body: int = 4096  # of a call's body, which says nothing
    record_agreement: float = 1500.0  # for the fleet to agree on what a caller asked of the record
    operators: int = MAX_OPERATORS
    linger: float = 1000.0  # reading on after an answer that cut a request short, lest a reset overtake it
    stream_end: float = 1000.0  # for a worker to end its stream after the last line
    min_stale_idle: float = (
        50.0  # a line that rested less is never mistrusted: a reset then has another cause
    )
    stale_recovery: float = 10_000.0  # after a line that proved dead, the time lines may rest doubles in this
    probe: float = 1000.0  # for a worker to answer a probe
    network_allowance: float = 5.0  # taken off a client's time: its way here and the answer's way back
    watch: float = 20_000.0  # a watch of the list waits this long for news
    discovery_silence: float = (
        2500.0  # past a call's own wait, discovery counts as silent; it gives up after 2000
    )
    discovery_connect: float = 600.0  # to reach discovery, which is on this machine
    discovery_move: float = 4000.0  # a new address of discovery may take this long to come up
    retry: float = 100.0  # between two tries at a new address
    max_peer_message: int = 256  # bytes of a message from another scheduler
    failure_flush: float = 200.0  # after a failure inside, for the answers owed to go out
    accept_after_stop: float = (
        550.0  # after SIGTERM new connections are taken for this long: they come for up to 400
    )
    serve_after_stop: float = 2500.0  # and those that are open are served on: the others may not be back yet
    answer_after_stop: float = (
        3300.0  # and what comes on them is answered by then: the kill comes after 3,700
    )


def divide_resources(
    sockets: int, memory_mb: float, idle: float, connect: float, console: bool = False
) -> Limits:
    """Divide the descriptors and the memory: most of the idle time of a worker is used, and none of its end.

    A reserve of one size left clients eleven of 90, and each of their connections was closed for another.

    >>> divide_resources(1024, 192, 5000.0, 250.0)[:2]
    (536, 440)
    >>> divide_resources(90, 40, 5000.0, 250.0)[:2]
    (39, 33)
    >>> [divide_resources(256, memory, 5000.0, 250.0).total_bodies for memory in (32, 16)]
    [4194304, 1048576]
    """
    console_sockets = (MAX_OPERATORS + 1) * console  # its listener too
    free = max(16, sockets - RESERVED_DESCRIPTORS - console_sockets - sockets // CLOSING_FRACTION)
    clients = int(free * CLIENT_FRACTION)
    total_bodies = int(max(1.0, (memory_mb - PROCESS_MB) * BODY_FRACTION) * 1_048_576)
    return Limits(
        clients=clients,
        worker_connections=free - clients,
        worker_idle=0.6 * idle,
        connect=connect,
        total_bodies=total_bodies,
    )
