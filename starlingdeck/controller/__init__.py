"""The controller process: wiring of its parts, request and message handlers, loops, metrics."""
