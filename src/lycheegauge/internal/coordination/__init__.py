"""Decision logic that uses no sockets, clocks or threads."""
