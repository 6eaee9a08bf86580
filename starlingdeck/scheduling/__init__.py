"""Scheduling cycles: candidate machines, job priority, placement and preemption."""
