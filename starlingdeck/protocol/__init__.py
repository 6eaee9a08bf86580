"""Wire messages; the only layer that knows wire names."""
