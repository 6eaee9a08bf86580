"""Test doubles for all parts of a deployment other than the controllers: processes on loopback.

They implement as much of PROTOCOL as real controllers need in order to run on one machine.
"""
