"""Time-outs, sizes and limits of the replicated log, each with its unit and reason."""

from typing import NamedTuple

from sableford.consensus.state_machine import NUMBERS_PER_AUTHOR

# Leaders and elections

HEARTBEAT = 100.0  # ms between heartbeats of a leader: five in the shortest election timeout
ELECTION_TIMEOUT = 500.0  # ms without a leader before an election, randomized up to twice as long
MAX_REMEMBERED_ROUNDS = 40  # heartbeat rounds whose send times a leader remembers
QUORUM_TIMEOUT = 1000.0  # ms without responses of a majority after which a leader steps down
LATE_TICK_THRESHOLD = 200.0  # ms: after a tick this late the process was itself stalled: no election
SILENCE_TIMEOUT = 300.0  # ms, three heartbeats, without a response: voter changes treat it as dead
LEADERLESS_FETCH_DELAY = 1000.0  # ms without a leader after which a voter fetches what others committed

# Starts

STARTUP_QUESTION_INTERVAL = 200.0  # ms between startup questions
STARTUP_ANSWER_TIMEOUT = 1000.0  # ms to wait for all voters' answers; then a majority is enough

# Catching up

FETCH_INTERVAL = 500.0  # ms between fetches of a learner that knows of nothing new
FETCH_RETRY = 100.0  # ms between fetches that a leader's heartbeats prompt
MAX_UNANSWERED_FETCHES = 3  # unanswered fetches of a snapshot before another process is asked
MAX_EARLY_CHUNKS = 16  # snapshot chunks buffered out of order: one response's worth of datagrams
SNAPSHOT_ENTRIES = 10_000  # entries between snapshots: a restart replays at most twice as many
SNAPSHOT_LOG_BYTES = 1_048_576  # below this log size no snapshot is made for size: it is read in a second
SNAPSHOT_LOG_RATIO = 4  # log size, in snapshot sizes, between snapshots: they add a quarter to the writes
SNAPSHOT_KEEP_ENTRIES = 1_000  # entries kept before a snapshot at most, for followers slightly behind
SNAPSHOT_KEEP_BYTES = 262_144  # their size at most, or one snapshot's: beyond that a snapshot is shorter
MAX_CACHED_SNAPSHOTS = 2  # encoded snapshots cached for fetches: the newest, and one whose transfer has begun
SNAPSHOT_CACHE_MS = 3000.0  # ms that one is cached after its last fetch
ENTRY_OVERHEAD = 40  # bytes of an entry apart from its data
LEGACY_SNAPSHOT_WINDOW = 14_400  # bytes sent per fetch by versions that do not set `through`

# Proposals

PROPOSAL_RETRY = 300.0  # ms without the leader's response after which a proposal is sent again
MAX_PROPOSALS = NUMBERS_PER_AUTHOR // 2  # in flight at one process
MAX_MESSAGES_IN_FLIGHT = 8  # append messages in flight to a follower
MAX_ENTRIES_IN_FLIGHT = 512  # entries in flight to a follower

UNKNOWN = "?"  # a voter's id as seen by a process that does not know the voters' ids
KEY_CHANGED = "the key has moved on"
OUTCOME_FORGOTTEN = "it was offered so long ago that it is not known what came of it"


class Transport(NamedTuple):
    """How much the transport between processes carries at once."""

    batch_bytes: int  # entries in one message; a larger entry is sent alone
    window_bytes: int  # entries in flight to one follower, or a single larger entry
    resend: float  # ms without a response after which sent entries count as lost
    piece_bytes: int  # of a snapshot, in one message
    pieces: int  # messages sent in response to one fetch
    fetch_retry: float  # ms without a snapshot chunk after which it is requested again


# One message per datagram; a full socket buffer drops what does not fit.
DATAGRAMS = Transport(900, 65_536, 2.0 * HEARTBEAT, 900, 16, 100.0)
# Connections preserve order. The window stays far below their send backlog, so that no heartbeat is queued
# behind a snapshot for as long as an election timeout.
STREAMS = Transport(65_536, 1_048_576, QUORUM_TIMEOUT, 65_536, 4, 500.0)
