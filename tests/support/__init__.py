"""Support code of the tests: builders, simulated clusters, reference models."""
