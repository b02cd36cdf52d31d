"""Decision logic for routed requests, free of I/O: no sockets, clock or files."""
