"""Stand-ins for what a deployment has beside the controllers: real processes on loopback.

They follow PROTOCOL and are small: enough to run real controllers against, on one machine.
"""
