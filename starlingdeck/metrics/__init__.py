"""Event counters, latency histograms and the task profiler."""
