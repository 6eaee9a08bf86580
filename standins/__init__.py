"""Test doubles for what a deployment has beside the controllers: processes on loopback.

They implement PROTOCOL as far as real controllers need it to run on one machine.
"""
