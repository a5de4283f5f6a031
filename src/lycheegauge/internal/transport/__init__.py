"""HTTP and UDP listeners, HTTP and RPC clients, and the clock."""
