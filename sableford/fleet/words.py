"""What schedulers say to each other, as bytes: numbered form, checksum, bounded size, long words in parts.

It owns the frame and the putting together of parts. It must never raise on what comes in: an unknown or
broken word is counted and passed over.

A datagram is the form's number (1 byte), CRC32C of the rest (4 bytes), then one MessagePack array
[sender, its birth, what is said], in parts where it is long.
"""

from collections import Counter, OrderedDict
from struct import Struct

import google_crc32c
import msgspec

FORMAT = 1
DATAGRAM = 1200  # bytes: what passes every way whole
PART = 1100  # bytes of a long word in one datagram, beside the head
MOST_PARTS = 64  # a word of 70 kB: the longest entry, escaped
PARTIAL = 64  # long words at once that are not whole yet; the oldest goes for the next
_HEAD, _CUT = Struct("<BI"), Struct("<IHH")
WHOLE, CUT = FORMAT, 128 + FORMAT  # a part's number has the high bit


class Letter(msgspec.Struct, array_like=True):
    """Who says it: its name and the birth of its process, a number that no other process of the name has."""

    sender: str
    birth: int
    said: msgspec.Raw


class Post:
    """One process's side of the words: sealed to datagrams, opened from them, and what was passed over."""

    def __init__(self, name: str, birth: int, kinds: object) -> None:
        """`kinds`: the union of structs that may be said."""
        self._name, self._birth, self._number = name, birth, 0
        self._encode = msgspec.msgpack.Encoder().encode
        self._letter = msgspec.msgpack.Decoder(Letter)
        self._word = msgspec.msgpack.Decoder(kinds)
        self._parts: OrderedDict[tuple[object, int], dict[int, bytes]] = OrderedDict()
        self.passed_over: Counter[str] = Counter()

    def seal(self, word: object) -> list[bytes]:
        """ValueError on a word past all bounds."""
        text = self._encode(Letter(self._name, self._birth, msgspec.Raw(self._encode(word))))
        if len(text) + _HEAD.size <= DATAGRAM:
            return [_HEAD.pack(WHOLE, google_crc32c.value(text)) + text]
        pieces = [text[at : at + PART] for at in range(0, len(text), PART)]
        if len(pieces) > MOST_PARTS:
            raise ValueError(f"{len(text)} bytes in one word")
        self._number += 1
        cut = [_CUT.pack(self._number, at, len(pieces)) + piece for at, piece in enumerate(pieces)]
        return [_HEAD.pack(CUT, google_crc32c.value(text)) + text for text in cut]

    def open(self, data: bytes, source: object) -> tuple[str, int, object] | None:
        """Sender, birth and word; none where it is broken, unknown, or not whole yet.

        >>> class Hi(msgspec.Struct, tag=1, array_like=True): much: int
        >>> post = Post("a", 7, Hi)
        >>> [sealed] = post.seal(Hi(3))
        >>> post.open(sealed, "x"), post.open(sealed[:-1], "x"), post.open(bytes([9]) + sealed[1:], "x")
        (('a', 7, Hi(much=3)), None, None)
        >>> dict(post.passed_over)
        {'checksum': 1, 'form': 1}
        """
        if len(data) < _HEAD.size or len(data) > DATAGRAM:
            return self._pass("size")
        form, check = _HEAD.unpack_from(data)
        text = data[_HEAD.size :]
        if form not in (WHOLE, CUT):
            return self._pass("form")
        if google_crc32c.value(text) != check:
            return self._pass("checksum")
        if form == CUT and (text := self._gather(text, source)) is None:
            return None
        try:
            letter = self._letter.decode(text)
            return letter.sender, letter.birth, self._word.decode(letter.said)
        except msgspec.MsgspecError:
            return self._pass("word")

    def _gather(self, text: bytes, source: object) -> bytes | None:
        if len(text) < _CUT.size:
            return self._pass("size")
        number, at, of = _CUT.unpack_from(text)
        if not 0 <= at < of <= MOST_PARTS:
            return self._pass("part")
        parts = self._parts.setdefault((source, number), {})
        parts[at] = text[_CUT.size :]
        if len(parts) == of:
            del self._parts[source, number]
            return (
                b"".join(parts[at] for at in range(of))
                if set(parts) == set(range(of))
                else self._pass("part")
            )
        if len(self._parts) > PARTIAL:
            self._parts.popitem(last=False)
            self.passed_over["partial"] += 1
        return None

    def _pass(self, why: str) -> None:
        self.passed_over[why] += 1
