"""Counted resources: named numbers of units that tasks hold while they are on a machine."""
