"""Start one controller: run.py --config PATH."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]
# A controller is not allowed to write bytecode. Without the bytecode that the build compiled
# (deploy/service.toml), each restart would spend 0.25 s of processor time, 1 s on a small machine,
# on compiling the program again. The cache is organized by absolute path: in a checkout that was
# moved after the build it has no entries, and Python's default cache is the better choice.
BYTECODE_CACHE = ROOT / "target" / "pyc"
if BYTECODE_CACHE.joinpath(*ROOT.parts[1:]).is_dir():
    sys.pycache_prefix = str(BYTECODE_CACHE)

from starlingdeck.cli import start  # noqa: E402

if __name__ == "__main__":
    start()
