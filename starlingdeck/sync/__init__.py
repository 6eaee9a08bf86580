"""State synchronisation between controllers: shard snapshots, desired state, relayed messages."""
