"""This scheduler's seat in the fleet, as the file gives it: who the others are, who votes, where the folder
is.

It owns the reading of `fleet` in the start-up file and what is wrong with it.
"""

import ipaddress
from typing import NamedTuple

import msgspec

VOTERS = 3, 5  # that vote: two or four lose no more processes than one or three


class Seat(NamedTuple):
    name: str
    peers: dict[str, tuple[str, int]]  # every listed scheduler's place, the own one too, by name
    voters: tuple[str, ...]
    folder: str


class _Text(msgspec.Struct, forbid_unknown_fields=True):
    peers: dict[str, str]
    voters: list[str]
    folder: str


def read_seat(text: bytes, name: str) -> Seat:
    """ValueError names the field.

    >>> read_seat(b'{"peers":{"a":"127.0.0.1:7"},"voters":["a"],"folder":"/f"}', "a").peers
    {'a': ('127.0.0.1', 7)}
    >>> read_seat(b'{"peers":{"a":"a:7"},"voters":["a"],"folder":"/f"}', "a")
    Traceback (most recent call last):
    ValueError: fleet.peers.a: 'a:7' is not an IP address and a port
    """
    try:
        given = msgspec.json.decode(text, type=_Text)
    except msgspec.MsgspecError as problem:
        raise ValueError(f"fleet: {problem}") from problem
    peers = {}
    for peer, place in given.peers.items():
        host, _, port = place.rpartition(":")
        try:
            ipaddress.ip_address(host)
            if not 0 < int(port) < 65536:
                raise ValueError
        except ValueError as problem:
            raise ValueError(f"fleet.peers.{peer}: {place!r} is not an IP address and a port") from problem
        peers[peer] = host, int(port)
    if len(set(peers.values())) < len(peers):
        raise ValueError("fleet.peers: an address twice")
    if name not in peers:
        raise ValueError(f"fleet.peers: {name!r} itself is not among them")
    if len(given.voters) not in (1, *VOTERS) or len(set(given.voters)) < len(given.voters):
        raise ValueError("fleet.voters: 3 or 5 different names, or one alone")
    if strange := [voter for voter in given.voters if voter not in peers]:
        raise ValueError(f"fleet.voters: {strange[0]!r} is not among fleet.peers")
    if not given.folder.startswith("/"):
        raise ValueError(f"fleet.folder: {given.folder!r} is not a whole path")
    return Seat(name, peers, tuple(given.voters), given.folder)
