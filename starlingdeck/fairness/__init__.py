"""Fair shares under overload, without clock, I/O and imports from higher layers."""
