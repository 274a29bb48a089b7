"""Reads and validates the `fleet` section of the start-up file: peers, voters and the folder of the log."""

import ipaddress
from typing import NamedTuple

import msgspec

VOTER_COUNTS = 3, 5  # an even number tolerates no more failures than the odd number below it


class FleetConfig(NamedTuple):
    """The fleet as this scheduler is configured to join it."""

    name: str
    peers: dict[str, tuple[str, int]]  # address of every scheduler by name, this one included
    voters: tuple[str, ...]
    folder: str


class _FleetSection(msgspec.Struct, forbid_unknown_fields=True):
    peers: dict[str, str]
    voters: list[str]
    folder: str


def read_fleet_config(text: bytes, name: str) -> FleetConfig:
    """Reads the section for the scheduler `name`. Raises ValueError with the name of the field.

    >>> read_fleet_config(b'{"peers":{"a":"127.0.0.1:7"},"voters":["a"],"folder":"/f"}', "a").peers
    {'a': ('127.0.0.1', 7)}
    >>> read_fleet_config(b'{"peers":{"a":"a:7"},"voters":["a"],"folder":"/f"}', "a")
    Traceback (most recent call last):
    ValueError: fleet.peers.a: 'a:7' is not an IP address and a port
    """
    try:
        section = msgspec.json.decode(text, type=_FleetSection)
    except msgspec.MsgspecError as problem:
        raise ValueError(f"fleet: {problem}") from problem
    peers = {}
    for peer, address in section.peers.items():
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host)
            if not 0 < int(port) < 65536:
                raise ValueError
        except ValueError as problem:
            raise ValueError(f"fleet.peers.{peer}: {address!r} is not an IP address and a port") from problem
        peers[peer] = host, int(port)
    if len(set(peers.values())) < len(peers):
        raise ValueError("fleet.peers: an address twice")
    if name not in peers:
        raise ValueError(f"fleet.peers: {name!r} itself is not among them")
    if len(section.voters) not in (1, *VOTER_COUNTS) or len(set(section.voters)) < len(section.voters):
        raise ValueError("fleet.voters: 3 or 5 different names, or one alone")
    if unknown := [voter for voter in section.voters if voter not in peers]:
        raise ValueError(f"fleet.voters: {unknown[0]!r} is not among fleet.peers")
    if not section.folder.startswith("/"):
        raise ValueError(f"fleet.folder: {section.folder!r} is not a whole path")
    return FleetConfig(name, peers, tuple(section.voters), section.folder)
