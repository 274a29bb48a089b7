"""Plain asserts on the command line: what it says of a bad start."""

import json
import socket
import tempfile
from pathlib import Path

from click.testing import CliRunner, Result

from sableford.net.cli import main
from tests.adapter import PROFILE

BERTH = {
    "name": "n0",
    "listen": "127.0.7.9:0",
    "discovery": "127.0.7.9:1",
    "seed": "1",
    "limits": {"sockets": 64, "memory_mb": 64},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": PROFILE,
}


def told(command: str, *flags: str, **changed: object) -> Result:
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump({key: value for key, value in (BERTH | changed).items() if value is not None}, file)
        file.flush()
        return CliRunner().invoke(main, [command, *flags, "--config", file.name])


def refuses(result: Result, *words: str) -> None:
    assert result.exit_code == 2, result.output
    assert result.output.count("\n") == 1 and "Traceback" not in result.output, result.output
    assert all(word in result.output for word in words), result.output


def shows_a_sound_file_is_understood() -> None:
    result = told("check")
    assert result.exit_code == 0 and "n0 listens on 127.0.7.9:0" in result.output, result.output


def shows_what_is_missing_or_bad_is_named_in_one_line() -> None:
    refuses(told("check", seed=None), "seed")
    refuses(told("check", limits={"sockets": "many"}), "limits.sockets", ".json")
    refuses(told("serve", listen="nowhere"), "listen", "nowhere")
    refuses(told("serve", settings={"instances": 0}), "settings")
    refuses(told("check", known={"revision": "x"}), "known")


def shows_a_missing_file_and_a_taken_port_are_named() -> None:
    refuses(CliRunner().invoke(main, ["serve", "--config", str(Path(tempfile.gettempdir(), "none"))]), "none")
    with socket.socket() as taken:
        taken.bind(("127.0.7.9", 0))
        taken.listen()
        place = f"127.0.7.9:{taken.getsockname()[1]}"
        refuses(told("serve", listen=place), place)


def shows_peers_are_spoken_to_only_where_file_and_command_line_say_so() -> None:
    allowed = PROFILE | {"instances": 2, "limits": PROFILE["limits"] | {"peers": True}}
    two = ["127.0.7.9:1", "127.0.7.9:2"]
    assert "peers" not in told("check", settings=allowed, peers=two).output
    spoken = told("check", "--talk", settings=allowed, peers=two)
    assert "speaks to 1 peers" in spoken.output, spoken.output
    assert "peers" not in told("check", "--talk", settings=allowed).output
    refuses(told("check", settings=allowed, peers=two[:1]), "peers", "1 addresses for 2 instances")
    refuses(told("check", settings=allowed, peers=two[:1] * 2), "peers", "an address twice")
    refuses(told("check", settings=allowed, peers=["a", "b"]), "peers", "'a' is not an address")
    refuses(told("check", settings=allowed, peers=["a:1", "b:1"]), "peers", "'a' is not an IP address")


def shows_settings_of_the_move_are_checked() -> None:
    refuses(told("check", settings=PROFILE | {"earnings_by": "hour"}), "earnings_by", "'hour'")
    refuses(told("check", settings=PROFILE | {"weights": "heavy"}), "weights", "'heavy'")
    schemes = [PROFILE["schemes"][0] | {"tardy_earnings": 1.5}]
    refuses(told("check", settings=PROFILE | {"schemes": schemes}), "schemes[0].tardy_earnings")
