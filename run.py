"""Start one controller: run.py --config PATH."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]
# A controller may write no bytecode: without what the build compiled, each restart would spend
# 0.25 s of processor time, a second on a small machine, on compiling the program once more.
# It is kept by path; in a checkout that was moved since, Python's own cache serves better.
COMPILED = ROOT / "target" / "pyc"
if COMPILED.joinpath(*ROOT.parts[1:]).is_dir():
    sys.pycache_prefix = str(COMPILED)

from starlingdeck.cli import start  # noqa: E402

if __name__ == "__main__":
    start()
