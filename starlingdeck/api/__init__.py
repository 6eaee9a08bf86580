"""Handlers of the HTTP API: jobs, worker heartbeats."""
