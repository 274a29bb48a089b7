"""The accepted orders: the sequence of versions, each with the digest of the order that made it. No I/O.

Every version has one successor. So once the successor of a base is known, an order on that base either was
accepted or never can be. The newest versions are part of the record's value of the configuration, because
they must change atomically with it. Older ones are in segments, values of their own that are written once,
so that a change does not write a thousand digests again. Adjacent segments share a version, which shows
whether there is a gap between them.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

RECENT = 64  # versions in the configuration's value, some 3 kB; then the oldest ones become a segment
RECENT_MAX = 4 * RECENT  # upper limit, reached only if no segment could be written
SEGMENT_RETENTION_MS = 86_400_000.0  # a day: no order is repeated after that long
MAX_SEGMENTS = 256  # some 16,000 orders, 400 kB: a day of 1,100 orders fills 18
PREFIX = "orders."  # of the record's keys for segments


class Version(NamedTuple):
    """A version that was in force, and the digest of the order that made it; empty if that is unknown."""

    digest: str
    revision: int


FIRST = Version("", 0)  # before any configuration


class Segment(msgspec.Struct, frozen=True):
    """Consecutive versions. `closed_at`: the time of day, in ms, at the leader that wrote the segment."""

    versions: tuple[Version, ...]
    closed_at: float

    @property
    def key(self) -> str:
        return f"{PREFIX}{self.versions[0].revision:020d}"

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(self)


def load_segment(data: bytes) -> Segment:
    return msgspec.msgpack.decode(data, type=Segment)


class Archive:
    """The segments in the record."""

    def __init__(self, segments: Iterable[Segment] = ()) -> None:
        self.segments = sorted(segments, key=lambda segment: segment.versions[0].revision)
        self._revisions = {
            version.digest: version.revision for segment in self.segments for version in segment.versions
        }

    def revision_of(self, digest: str) -> int | None:
        return self._revisions.get(digest)

    def oldest_known(self, revision: int) -> int:
        """The oldest version from which on every successor is known, going back from `revision`.

        >>> def segment(*revisions):
        ...     return Segment(tuple(Version(f"d{one}", one) for one in revisions), 0.0)
        >>> archive = Archive([segment(0, 2), segment(3, 5), segment(5, 9)])
        >>> archive.oldest_known(9), archive.oldest_known(2), archive.oldest_known(12)
        (3, 0, 12)
        """
        for segment in reversed(self.segments):
            if segment.versions[-1].revision == revision:
                revision = segment.versions[0].revision
        return revision

    def ends(self) -> set[int]:
        return {segment.versions[-1].revision for segment in self.segments}

    def expired(self, unix_ms: float) -> list[str]:
        """Keys of segments that have expired, the oldest first, so that the rest has no gap."""
        keys: list[str] = []
        for at, segment in enumerate(self.segments):
            if (
                segment.closed_at + SEGMENT_RETENTION_MS >= unix_ms
                and len(self.segments) - at <= MAX_SEGMENTS
            ):
                break
            keys.append(segment.key)
        return keys


def closed_segment(recent: tuple[Version, ...], archive: Archive, unix_ms: float) -> Segment | None:
    """The next segment to write, once there are enough recent versions."""
    recent = unarchived(recent, archive)
    return Segment(recent[:RECENT], unix_ms) if len(recent) > RECENT else None


def unarchived(recent: tuple[Version, ...], archive: Archive) -> tuple[Version, ...]:
    """The recent versions that are in no segment, and before them the last one of the newest segment, which
    links the two."""
    ends = archive.ends()
    for at in range(len(recent) - 1, 0, -1):
        if recent[at].revision in ends:
            return recent[at:]
    return recent
