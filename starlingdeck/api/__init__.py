"""Handlers of the HTTP API: users' job requests and workers' heartbeats."""
