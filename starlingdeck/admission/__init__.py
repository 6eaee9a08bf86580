"""Admission plugins: the quota of each team and its transfer between shards."""
