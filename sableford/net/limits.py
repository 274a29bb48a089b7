"""Sizes, counts and times of the real scheduler: one type, filled at start, handed down.

It owns every such number and must never be changed once filled, nor hold anything that bears on a decision.
"""

from typing import NamedTuple

OWN = 16  # descriptors: the listener, discovery, the loop's own, the log; some nine are used
CALLERS = 8  # at the console: staff and their tools, and some that connect and say nothing
CLOSING_PART = 32  # one in so many is kept for what is just closing
CLIENT_PART = 0.55  # of the rest: txns may take a third of all on either side, silent clients what is over
PROCESS = 24  # MB of the process itself, with every connection at what it may hold unasked
BODY_PART = 0.5  # of the memory beyond that: a body is held twice while it is handed on


class Limits(NamedTuple):
    """Times are milliseconds, sizes bytes."""

    clients: int  # connections from clients at once
    lines: int  # connections to workers at once, dealt out evenly among them
    keep: float  # an idle connection to a worker is closed by then
    connect: float  # a connection to a worker is given up by then
    body: int = 65_536  # of a request or an answer, as the protocol says
    head: int = 16_384  # request line and headers
    word: int = 524_288  # one line of a worker's stream: a body whose every byte is escaped
    listing: int = 4_194_304  # one answer of discovery: some ten thousand workers
    bodies: int = 16_777_216  # of requests under way, over what each may hold unasked
    small: int = 4096  # a body that needs no room granted; most txns are smaller
    soak: int = 262_144  # read and thrown away after an answer that closes; then the sender has to wait
    chunk: int = 16_384  # read from a socket at once; a reader holds twice this and the kernel's once
    backlog: int = 1024  # connections that wait to be accepted
    opening: float = 2000.0  # from the connection's start until a first request is whole, and one is served
    slow: float = 2000.0  # for a later one from its first byte on, and for a client to take its answer
    hurry: float = 200.0  # the same where the limit on clients is reached and others wait
    pause: float = 100.0  # after a request turned away, before the next on the connection is looked at
    longest: float = 3_600_000.0  # a time left past this is senseless
    count: float = 1000.0  # between two lines of the log on requests turned away
    late: float = 100.0  # a wake-up later than this goes to the log: the core is not ours enough
    idle: float = 120_000.0  # a client's connection between requests
    glance: float = 50.0  # between looks at the files of another process that lives: well within a grace
    lookout: float = 250.0  # and alone, for one that comes
    beat: float = 1000.0  # between signs of life, which date the word of a dead process
    remembered: float = 10_000.0  # a dead process's word counts for so long after its last sign
    written: float = 300.0  # a caller waits so long for its call to be written; the yes follows all the same
    sure: float = 100.0  # asked to end, the disk has so long to say whether another one serves: two glances
    yields: float = 1000.0  # after SIGTERM with another process serving, resting connections go
    call_in: float = 2000.0  # for a caller at the console from connecting to the end of its call
    call_size: int = 4096  # of a call's body, which says nothing
    agreed: float = 1500.0  # for the fleet to agree on what a caller asked of the record
    callers: int = CALLERS
    linger: float = 1000.0  # reading on after an answer that cut a request short, lest a reset overtake it
    tail: float = 1000.0  # for a worker to end its stream after the last line
    brief: float = 50.0  # a line that rested less is never mistrusted: a reset then has another cause
    trust: float = 10_000.0  # after a line that proved dead, the time lines may rest doubles in this
    probe: float = 1000.0  # for a worker to answer a probe
    way: float = 5.0  # taken off a client's time: its way here and the answer's way back
    watch: float = 20_000.0  # a watch of the list waits this long for news
    silence: float = 2500.0  # past a call's own wait, discovery counts as silent; it gives up after 2000
    call: float = 600.0  # to reach discovery, which is on this machine
    moving: float = 4000.0  # a new address of discovery may take this long to come up
    again: float = 100.0  # between two tries at a new address
    saying: int = 256  # bytes of a message from another scheduler
    last: float = 200.0  # after a failure inside, for the answers owed to go out
    leave: float = 550.0  # after SIGTERM new connections are taken for this long: they come for up to 400
    stay: float = 2500.0  # and those that are open are served on: the others may not be back yet
    last_word: float = 3300.0  # and what comes on them is answered by then: the kill comes after 3,700


def granted(sockets: int, memory_mb: float, idle: float, connect: float, console: bool = False) -> Limits:
    """Divide the descriptors and the memory: most of the idle time of a worker is used, and none of its end.

    A reserve of one size left clients eleven of 90, and each of their connections was closed for another.

    >>> granted(1024, 192, 5000.0, 250.0)[:2], granted(90, 40, 5000.0, 250.0)[:2]
    ((536, 440), (39, 33))
    >>> granted(256, 32, 5000.0, 250.0).bodies, granted(256, 16, 5000.0, 250.0).bodies
    (4194304, 1048576)
    """
    door = (CALLERS + 1) * console  # its listener too
    free = max(16, sockets - OWN - door - sockets // CLOSING_PART)
    clients = int(free * CLIENT_PART)
    bodies = int(max(1.0, (memory_mb - PROCESS) * BODY_PART) * 1_048_576)
    return Limits(clients=clients, lines=free - clients, keep=0.6 * idle, connect=connect, bodies=bodies)
