"""Times, sizes and counts of the record, each with its unit and reason."""

from typing import NamedTuple

from sableford.consensus.state_machine import WINDOW

# Leaders and elections

HEARTBEAT = 100.0  # ms between two messages of a leader: five in the shortest election time
ELECTION_TIMEOUT = 500.0  # ms without a leader before one stands, up to twice as long by chance
ROUNDS = 40  # rounds of heartbeats of which it is remembered when they went out
QUORUM_TIMEOUT = 1000.0  # ms a leader goes on without a majority; then it leads no more
LATE_TICK = 200.0  # ms: a tick so late is this process's own fault, and no reason to stand
SILENT = 300.0  # ms, three heartbeats, without an answer: a voter counts as dead when voters are changed
LEADERLESS = 1000.0  # ms without a leader after which a voter asks others what was agreed on without it

# Starts

STARTUP_QUESTION_INTERVAL = 200.0  # ms between two startup questions
STARTUP_ANSWER_TIMEOUT = 1000.0  # ms for every voter's answer at the start; then a majority's is enough

# Catching up

FETCH_INTERVAL = 500.0  # ms between two fetches of a learner that hears of nothing new
FETCH_RETRY = 100.0  # ms between two fetches from the leader that asks for them
FETCH_TRIES = 3  # fetches of a snapshot without an answer; then another is asked for one
EARLY_PIECES = 16  # pieces of a snapshot held until one before them comes: an answer's worth of datagrams
SNAPSHOT_ENTRIES = 10_000  # entries after which a snapshot is made: a restart reads at most twice as many
SNAPSHOT_LOG_BYTES = 1_048_576  # entries' bytes that are no reason for a snapshot: a second's reading
SNAPSHOT_LOG_IMAGES = 4  # images' worth of entries' bytes: images add a quarter to what the log writes
SNAPSHOT_KEEP_ENTRIES = 1_000  # kept before a snapshot at most, for one that is a little behind
SNAPSHOT_KEEP_BYTES = 262_144  # and no more of them than this or one image: past that a snapshot is shorter
SNAPSHOTS_SERVED = 2  # encoded snapshots held for those that fetch them: the newest, and one that was begun
SNAPSHOT_SERVED = 3000.0  # ms after its last fetch for which one is held
ENTRY_OVERHEAD = 40  # bytes of an entry beside its data
OLD_SNAPSHOT_WINDOW = 14_400  # bytes of a snapshot sent for one fetch by versions that do not say so

# Proposals

PROPOSAL_RETRY = 300.0  # ms for a leader's answer to a proposal before it is said again
MAX_PROPOSALS = WINDOW // 2  # under way at once at one process
AHEAD_MESSAGES = 8  # messages of entries at once to a follower
AHEAD_ENTRIES = 512  # entries under way to it at most

UNKNOWN = "?"  # the id of a voter, to one that has lost what it knew
MOVED = "the key has moved on"
FORGOTTEN = "it was offered so long ago that it is not known what came of it"


class Transport(NamedTuple):
    """How much the way between the processes carries at once."""

    batch_bytes: int  # entries in one message; a longer entry goes alone
    window_bytes: int  # entries under way to one follower, or one entry
    resend: float  # ms without an answer: what was sent is lost
    piece_bytes: int  # of a snapshot in one message
    pieces: int  # sent for one fetch
    fetch_retry: float  # ms without a piece: it is asked for again


# One message a datagram; what waits in a socket's buffer is dropped beyond its size.
DATAGRAMS = Transport(900, 65_536, 2.0 * HEARTBEAT, 900, 16, 100.0)
# Connections keep what is sent in order; the window stays far under their backlog, so that no heartbeat
# waits behind a snapshot for as long as an election takes.
STREAMS = Transport(65_536, 1_048_576, QUORUM_TIMEOUT, 65_536, 4, 500.0)
