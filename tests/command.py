"""Tests of the command line: error messages for an invalid configuration."""

import json
import socket
import tempfile
from pathlib import Path

from click.testing import CliRunner, Result

from sableford.net.cli import main
from tests.adapter import PROFILE

CONFIG = {
    "name": "n0",
    "listen": "127.0.7.9:0",
    "discovery": "127.0.7.9:1",
    "seed": "1",
    "limits": {"sockets": 64, "memory_mb": 64},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": PROFILE,
}


def invoke(command: str, *flags: str, **changes: object) -> Result:
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump({key: value for key, value in (CONFIG | changes).items() if value is not None}, file)
        file.flush()
        return CliRunner().invoke(main, [command, *flags, "--config", file.name])


def assert_rejected(result: Result, *expected: str) -> None:
    assert result.exit_code == 2, result.output
    assert result.output.count("\n") == 1 and "Traceback" not in result.output, result.output
    assert all(word in result.output for word in expected), result.output


def shows_a_valid_file_is_accepted() -> None:
    result = invoke("check")
    assert result.exit_code == 0 and "n0 listens on 127.0.7.9:0" in result.output, result.output


def shows_a_missing_or_invalid_field_is_named_in_one_line() -> None:
    assert_rejected(invoke("check", seed=None), "seed")
    assert_rejected(invoke("check", limits={"sockets": "many"}), "limits.sockets", ".json")
    assert_rejected(invoke("serve", listen="nowhere"), "listen", "nowhere")
    assert_rejected(invoke("serve", settings={"instances": 0}), "settings")
    assert_rejected(invoke("check", known={"revision": "x"}), "known")


def shows_a_missing_file_and_a_port_in_use_are_named() -> None:
    assert_rejected(
        CliRunner().invoke(main, ["serve", "--config", str(Path(tempfile.gettempdir(), "none"))]), "none"
    )
    with socket.socket() as occupied:
        occupied.bind(("127.0.7.9", 0))
        occupied.listen()
        address = f"127.0.7.9:{occupied.getsockname()[1]}"
        assert_rejected(invoke("serve", listen=address), address)


def shows_peer_messages_need_both_the_file_and_the_flag() -> None:
    allowed = PROFILE | {"instances": 2, "limits": PROFILE["limits"] | {"peers": True}}
    two = ["127.0.7.9:1", "127.0.7.9:2"]
    assert "peers" not in invoke("check", settings=allowed, peers=two).output
    enabled = invoke("check", "--talk", settings=allowed, peers=two)
    assert "speaks to 1 peers" in enabled.output, enabled.output
    assert "peers" not in invoke("check", "--talk", settings=allowed).output
    assert_rejected(invoke("check", settings=allowed, peers=two[:1]), "peers", "1 addresses for 2 instances")
    assert_rejected(invoke("check", settings=allowed, peers=two[:1] * 2), "peers", "an address twice")
    assert_rejected(invoke("check", settings=allowed, peers=["a", "b"]), "peers", "'a' is not an address")
    assert_rejected(
        invoke("check", settings=allowed, peers=["a:1", "b:1"]), "peers", "'a' is not an IP address"
    )


def shows_earnings_and_weights_settings_are_checked() -> None:
    assert_rejected(invoke("check", settings=PROFILE | {"earnings_by": "hour"}), "earnings_by", "'hour'")
    assert_rejected(invoke("check", settings=PROFILE | {"weights": "heavy"}), "weights", "'heavy'")
    schemes = [PROFILE["schemes"][0] | {"tardy_earnings": 1.5}]
    assert_rejected(invoke("check", settings=PROFILE | {"schemes": schemes}), "schemes[0].tardy_earnings")
