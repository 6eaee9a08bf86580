"""Bytes in and out: HTTP server, pooled HTTP client, peer frames."""
