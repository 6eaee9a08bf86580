"""Counters, latency histograms and the task profiler."""
