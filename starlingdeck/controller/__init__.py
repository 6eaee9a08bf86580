"""The controller process: wiring of its parts, its loops, its periodic metrics."""
