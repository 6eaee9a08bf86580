"""Fuzz the decoders of counted resources' records, messages and requests, guided by coverage.

pip install -r requirements-fuzz.txt
python scripts/fuzz_counts.py -runs=200000 tests/corpus/counts
Further arguments are passed to libFuzzer. It writes new inputs to the first folder: name one of
your own before the corpus to keep them apart.
"""

import sys
from pathlib import Path

import atheris

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

with atheris.instrument_imports(include=["starlingdeck"]):
    from tests.support.fuzz_targets import decode


def decode_input(data: bytes) -> None:
    """Decode one input; its first byte selects the decoder."""
    decode(data)


atheris.Setup(sys.argv, decode_input)
atheris.Fuzz()
