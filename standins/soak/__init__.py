"""Soak runs: real controllers on loopback under overlapping faults, checked from outside."""
