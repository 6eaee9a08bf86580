"""Fair shares under overload. Pure functions: no clock, no I/O, no imports from higher layers."""
