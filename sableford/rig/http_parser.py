"""HTTP parser of the stubs."""


class HttpParser:
    """Incremental HTTP/1.1 parser: a head, and a body if it has a Content-Length."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next_message(self) -> tuple[bytes, dict[bytes, bytes], bytes] | None:
        """Start line, headers with lower-case names, body; None while incomplete. ValueError if malformed."""
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return None
        first, *lines = bytes(self._buffer[:end]).split(b"\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(b":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get(b"content-length", b"0"))
        if len(self._buffer) < end + 4 + size:
            return None
        body = bytes(self._buffer[end + 4 : end + 4 + size])
        del self._buffer[: end + 4 + size]
        return first, headers, body
