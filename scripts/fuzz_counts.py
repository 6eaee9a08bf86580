"""Fuzz the decoders of counts' records, messages and requests, guided by coverage.

pip install -r requirements-fuzz.txt
python scripts/fuzz_counts.py -runs=200000 tests/corpus/counts
Further arguments are libFuzzer's; give a folder of your own first to keep what it finds.
"""

import sys
from pathlib import Path

import atheris

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

with atheris.instrument_imports(include=["starlingdeck"]):
    from tests.support.fuzz_targets import decode


def target(data: bytes) -> None:
    """Feeds one input to all decoders."""
    decode(data)


atheris.Setup(sys.argv, target)
atheris.Fuzz()
