"""Machine shards: reports, reachability, commands, reservations, snapshots, placement scores."""
