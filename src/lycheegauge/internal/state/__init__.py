"""The durable log, snapshots and the replicated state."""
