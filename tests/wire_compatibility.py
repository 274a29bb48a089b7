"""Compatibility with the messages and stored values of an earlier version (commit 863ec06): both versions may
run together, and a data folder remains usable after an upgrade or a downgrade.

`data/landed_863ec06.json` was written by that version: the frames that its stores, edges and leader sent, and
the values that its store wrote to disk.
"""

import functools
import json
from pathlib import Path

import msgspec

from sableford.control import protocol as control_protocol
from sableford.store import protocol as store_protocol
from sableford.store.message_storage import Clocks, decode_message, encode_message, final_state_puts
from sableford.store.protocol import FinalState, StoredMessage
from sableford.transport import messages as transport_messages
from sableford.transport.errors import UnknownOperationError
from sableford.transport.frames import Frame, FrameReader, encode_frame
from sableford.transport.link import response_decoder
from sableford.transport.messages import PeerMessage, PeerRequest
from sableford.transport.peer_server import operation_of

RECORDED = json.loads((Path(__file__).parent / "data" / "landed_863ec06.json").read_text())
MODULES = (transport_messages, control_protocol, store_protocol)
ENVELOPE = {"q", "a", "raw"}  # fields of a frame's head that do not belong to the message


@functools.cache
def message_types() -> dict[str, type[PeerMessage]]:
    """All message types, by operation."""
    types = {one for module in MODULES for one in vars(module).values() if isinstance(one, type)}
    abstract = {PeerMessage, PeerRequest}
    return {operation_of(one): one for one in types if issubclass(one, PeerMessage) and one not in abstract}


def frame_of(text: str) -> Frame:
    (frame,) = FrameReader().feed(text.encode("latin-1"))
    return frame


def fields_of(head: bytes) -> dict:
    """The fields of a message, without default values."""
    given = json.loads(head)
    return without_defaults({name: value for name, value in given.items() if name not in ENVELOPE})


def without_defaults(value: object) -> object:
    if not isinstance(value, dict):
        return value
    return {name: without_defaults(inner) for name, inner in value.items() if inner not in DEFAULTS}


DEFAULTS = (None, False, "", [], {}, [0, 0])  # default values, which are not sent now


def shows_each_message_of_the_landed_version_is_read_and_written_as_it_was() -> None:
    for recorded in RECORDED["messages"]:
        frame = frame_of(recorded["frame"])
        message_type = message_types()[recorded["operation"]]
        message = msgspec.json.decode(frame.head, type=message_type)
        before, now = fields_of(frame.head), fields_of(msgspec.json.encode(message))
        # A version that does not know `whole` takes a disk for complete, so the value is not sent.
        assert now | {"whole": True} == before | {"whole": before.get("whole", True)} or now == before, (
            recorded["operation"],
            before,
            now,
        )


def shows_all_operations_of_the_landed_version_are_known() -> None:
    recorded = {one["operation"] for one in RECORDED["messages"]}
    assert recorded == message_types().keys(), recorded ^ message_types().keys()


def shows_each_response_of_the_landed_version_is_read_and_written_as_it_was() -> None:
    for recorded in RECORDED["responses"]:
        frame = frame_of(recorded["frame"])
        if frame.envelope.refusal == "unknown":
            continue
        message_type = message_types()[recorded["operation"]]
        response = response_decoder(message_type.response_type)(frame)
        assert response.body == frame.body
        before, now = fields_of(frame.head), fields_of(msgspec.json.encode(response.message))
        # `last` is true by default.
        without = {name: value for name, value in before.items() if (name, value) != ("last", True)}
        assert now == without, (recorded["operation"], before, now)


def shows_a_response_of_a_process_without_the_operation_is_no_response() -> None:
    unknown = [one for one in RECORDED["responses"] if one["operation"] == "any"]
    assert len(unknown) == 1
    try:
        response_decoder(store_protocol.Confirmation)(frame_of(unknown[0]["frame"]))
    except UnknownOperationError:
        return
    raise AssertionError("it was taken for a response")


def shows_messages_without_default_values_have_the_same_bytes() -> None:
    same = 0
    for recorded in RECORDED["messages"]:
        frame = frame_of(recorded["frame"])
        message = msgspec.json.decode(frame.head, type=message_types()[recorded["operation"]])
        written = encode_frame(msgspec.json.encode(message), frame.body, frame.envelope.call_number)
        same += written == recorded["frame"].encode("latin-1")
    # All except those whose fields were in another order (put, join, renew, snapshots) or empty.
    assert same >= 20, same


def shows_a_disk_of_the_landed_version_is_read_and_written_as_it_was() -> None:
    clocks = Clocks(5000.0, 1_700_000_000_000.0)
    kinds = set()
    for recorded in RECORDED["disk"]:
        key, value = recorded["key"], recorded["value"].encode("latin-1")
        kinds.add(key[0])
        if key.startswith("m"):
            message = decode_message(value, clocks)
            stored = msgspec.json.decode(FrameReader().feed(value)[0].head, type=StoredMessage)
            assert message.ref == key[1:] and message.synced and message.body is None
            assert message.due_at == stored.due_at + clocks.monotonic - clocks.unix
            message.body = FrameReader().feed(value)[0].body
            again = FrameReader().feed(encode_message(message, clocks))[0]
            before, now = fields_of(FrameReader().feed(value)[0].head), fields_of(again.head)
            assert now.keys() == before.keys() and again.body == message.body
            assert {name: now[name] for name in now if "unix" not in name} == {
                name: before[name] for name in before if "unix" not in name
            }
            assert abs(now["due_unix"] - before["due_unix"]) < 1.0
        else:
            final_state = FinalState.load(value)
            assert final_state.dump() == value
            assert final_state_puts(key[1:], final_state)[0] == (key.encode(), value)
    assert kinds == {"m", "e"}
