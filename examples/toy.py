"""A toy worker and its discovery list, for trying the scheduler by hand: `python examples/toy.py`.

The worker takes a second for each job and answers with the body in upper case. A body of `fail`, `lost` or
`returned` makes the job end that way. Standard library only; loopback only.
"""

import json
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SLOTS = 4
running = 0


class Worker(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args: object) -> None:
        pass

    def do_POST(self) -> None:
        global running
        body = self.rfile.read(int(self.headers["Content-Length"])).decode()
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        running += 1
        self.send_line(state="started")
        time.sleep(0.5)
        self.send_line(state="running", share=0.5)
        time.sleep(0.5)
        running -= 1
        load = {"queue": max(0, running - SLOTS), "x0": max(0, SLOTS - running)}
        if body in ("fail", "lost", "returned"):
            self.send_line(state="failed" if body == "fail" else body, load=load)
        else:
            self.send_line(state="done", result=body.upper(), load=load)
        self.wfile.write(b"0\r\n\r\n")

    def send_line(self, **fields: object) -> None:
        fields = {"id": self.headers["X-Correlation-Id"], "from": "toy-1", **fields}
        line = json.dumps(fields).encode() + b"\n"
        self.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))

    def do_GET(self) -> None:
        answer(self, f"queue={max(0, running - SLOTS)},x0={max(0, SLOTS - running)}".encode())


class Discovery(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args: object) -> None:
        pass

    def do_GET(self) -> None:
        first = "after=" not in self.path
        if not first:
            time.sleep(5.0)  # long poll: this list never changes
        worker = {
            "id": "toy-1",
            "host_port": "127.0.0.1:8001",
            "locality": "here",
            "flavor": "toy",
            "cell": 0,
        }
        worker |= {"phase": "active", "size": 1.0, "up_since_ms": 0}
        update = {"revision": 1, "complete": first, "members": [worker] if first else []}
        answer(self, json.dumps(update).encode())


def answer(handler: BaseHTTPRequestHandler, body: bytes) -> None:
    with suppress(BrokenPipeError):  # the scheduler has exited
        handler.send_response(200)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)


if __name__ == "__main__":
    threading.Thread(
        target=ThreadingHTTPServer(("127.0.0.1", 8001), Worker).serve_forever, daemon=True
    ).start()
    print("toy worker on 127.0.0.1:8001, its list on 127.0.0.1:8500; Ctrl-C ends both", flush=True)
    ThreadingHTTPServer(("127.0.0.1", 8500), Discovery).serve_forever()
