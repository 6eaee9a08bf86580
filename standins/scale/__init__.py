"""Runs real controllers against simulated workers, checks the rules and measures."""
