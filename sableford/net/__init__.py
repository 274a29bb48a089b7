"""The scheduler on real sockets: wire formats and I/O around the scheduling decisions made elsewhere."""
