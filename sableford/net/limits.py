"""Sizes, counts and times of the scheduler process, fixed at start and passed to every actor.

Nothing here influences a dispatch decision; those settings are part of the scheduler configuration.
"""

from typing import NamedTuple

RESERVED_DESCRIPTORS = 16  # listener, discovery, event loop and log use about nine
MAX_OPERATORS = 8  # console connections, including idle ones
CLOSING_FRACTION = 32  # one descriptor in 32 is reserved for sockets that are just closing
# Share of the remaining descriptors for clients: transactions may take a third of all descriptors on either
# side, and idle clients may use the rest.
CLIENT_FRACTION = 0.55
PROCESS_MB = 24  # MB for the process itself, with every connection at its ungranted maximum
BODY_FRACTION = 0.5  # of the remaining memory: a body is held twice while it is forwarded


class Limits(NamedTuple):
    """Times are in milliseconds, sizes in bytes."""

    clients: int  # concurrent client connections
    worker_connections: int  # concurrent connections to workers, divided evenly among them
    worker_idle: float  # an idle connection to a worker is closed after this time
    connect: float  # time-out for connecting to a worker
    max_body: int = 65_536  # request or response body, set by the protocol
    max_head: int = 16_384  # request line and headers
    max_event_line: int = 524_288  # one line of a worker's stream: a body with every byte escaped
    max_listing: int = 4_194_304  # one discovery response: about ten thousand workers
    total_bodies: int = 16_777_216  # granted request bodies in flight, beyond the ungranted ones
    small_body: int = 4096  # bodies up to this size need no grant; most transactions are smaller
    max_discarded: int = 262_144  # discarded after a closing response; beyond this the sender blocks
    read_size: int = 16_384  # per socket read; a reader buffers twice this and the kernel once
    backlog: int = 1024  # connections waiting to be accepted
    first_request: float = 2000.0  # from accept until a first request is complete and served
    transfer: float = 2000.0  # to receive a later request from its first byte, and to send a response
    transfer_when_full: float = 200.0  # the same while the client limit is reached and others wait
    rejection_pause: float = 100.0  # after a rejected request, before the next one on the connection is read
    max_time_left: float = 3_600_000.0  # a larger remaining time is rejected as invalid
    report_interval: float = 1000.0  # between two log lines about rejected requests
    late_wakeup: float = 100.0  # a later wake-up is logged: the process does not get enough CPU
    client_idle: float = 120_000.0  # a client connection between requests
    poll_with_others: float = 50.0  # between reads of another live process's files; well within its grace
    poll_alone: float = 250.0  # the same while no other process lives
    heartbeat: float = 1000.0  # between lock file updates, which date the state of a dead process
    dead_state_valid: float = 10_000.0  # a dead process's state counts this long after its last heartbeat
    override_write: float = 300.0  # an operator's call waits this long for the disk, then succeeds anyway
    shutdown_poll: float = 100.0  # at shutdown, time to find another serving process: two polls
    drain_with_other: float = 1000.0  # after SIGTERM idle connections stay this long if another serves
    operator_call: float = 2000.0  # an operator's call, from connecting to its end
    operator_body: int = 4096  # body of an operator's call; it has no meaning
    record_agreement: float = 1500.0  # for the fleet to agree on a change of the record
    operators: int = MAX_OPERATORS
    linger: float = 1000.0  # reading on after a response to a cut-off request, lest a reset overtake it
    stream_end: float = 1000.0  # for a worker to end its stream after the last line
    min_stale_idle: float = 50.0  # a reset on a connection idle for less has another cause than staleness
    stale_recovery: float = 10_000.0  # after a stale connection, the permitted idle time doubles in this time
    probe: float = 1000.0  # for a worker to answer a probe
    network_allowance: float = 5.0  # subtracted from the client's deadline for both network trips
    watch: float = 20_000.0  # a watch of the worker list waits this long for a change
    discovery_silence: float = 2500.0  # beyond the watch's wait; discovery itself gives up after 2000
    discovery_connect: float = 600.0  # discovery runs on this machine
    discovery_move: float = 4000.0  # for a new discovery address to come up
    retry: float = 100.0  # between two attempts at a new address
    max_peer_message: int = 256  # message from another scheduler
    failure_flush: float = 200.0  # after an internal failure, for pending responses to be sent
    accept_after_stop: float = 550.0  # after SIGTERM new connections are accepted; they come for up to 400
    serve_after_stop: float = 2500.0  # after SIGTERM open ones are served on: peers may not be back yet
    answer_after_stop: float = 3300.0  # requests on them are answered by then; the kill comes after 3700


def divide_resources(
    sockets: int, memory_mb: float, idle: float, connect: float, console: bool = False
) -> Limits:
    """Divides descriptors and memory between clients and workers.

    Connections to workers are closed well before the workers' own idle time-out. The reserve scales with the
    number of descriptors: a fixed one left clients only 11 of 90, and their connections evicted each other.

    >>> divide_resources(1024, 192, 5000.0, 250.0)[:2]
    (536, 440)
    >>> divide_resources(90, 40, 5000.0, 250.0)[:2]
    (39, 33)
    >>> [divide_resources(256, memory, 5000.0, 250.0).total_bodies for memory in (32, 16)]
    [4194304, 1048576]
    """
    console_sockets = (MAX_OPERATORS + 1) * console  # including its listener
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
