"""Runs real controllers against simulated workers, checks the protocol's rules and measures."""
