"""Decisions: ownership, jobs, machines, placement, fleet."""
