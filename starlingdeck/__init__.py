"""starlingdeck: a cluster scheduler made of peers."""

__version__ = "0.1.0"
