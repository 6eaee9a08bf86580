"""A run of real controllers against hollow workers, checked and measured while it goes on."""
