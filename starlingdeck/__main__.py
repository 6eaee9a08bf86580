"""Entry point of `python -m starlingdeck`."""

from starlingdeck.cli import main

main(prog_name="starlingdeck")
