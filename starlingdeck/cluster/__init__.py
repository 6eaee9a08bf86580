"""Cluster membership: shard ownership by leases, sharding, and links between controllers."""
