"""Plain asserts on single actors, for what can't be timed from outside."""

import asyncio
import socket
from types import SimpleNamespace

from sableford.intake.charter import Charter
from sableford.net.clients import Client
from sableford.net.limits import granted
from sableford.net.log import Log
from sableford.net.mail import Clock, Mailbox, Request, Shut

ASKED = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: t1\r\nX-Service-Class: quote\r\n"
ASKED += b"X-Time-Left: 900m\r\nContent-Length: 0\r\n\r\n"


def shows_a_request_read_beside_the_word_to_close_is_taken() -> None:
    async def scene() -> list:
        near, far = socket.socketpair()
        near.setblocking(False)
        charter = Charter(None, ("quote",), (), (), (), 5000.0, 250.0, frozenset({"quote"}))
        gate = SimpleNamespace(mail=Mailbox(), desk=Mailbox(), clock=Clock(asyncio.get_running_loop()))
        gate.beside = False
        gate.limits, gate.charter, gate.log = granted(100, 64, 5000.0, 250.0), charter, Log("n0")
        client = Client(gate, 0.0)
        client.mail.put(Shut())
        client.mail.put(ASKED)
        task = asyncio.create_task(client.run(near))
        told = await gate.desk.take(500.0)
        task.cancel()
        far.close()
        return told

    told = asyncio.run(scene())
    assert [type(message) for message in told] == [Request] and told[0].id == b"t1", told
