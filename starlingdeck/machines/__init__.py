"""Machine state: reachability, commands, reservations, and what peers are shown of it."""
