"""Counted resources: units of a named resource that tasks hold, limited over the whole cluster."""
