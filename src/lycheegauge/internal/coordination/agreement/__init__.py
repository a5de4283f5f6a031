"""The replicated log: Raft elections, log replication, membership and repair."""
