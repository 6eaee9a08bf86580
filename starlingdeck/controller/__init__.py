"""The controller process: its wiring, request and message handlers, loops, metrics."""
