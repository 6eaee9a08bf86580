"""Start one controller: run.py --config PATH.

Serves from the root of the repository and from target/app, where the build copies the
program to compile it: a controller may write no bytecode, and without any a restart spent
0.25 s of processor time, a second on a small machine, on compiling the program once more.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps"), str(ROOT.parent / "deps")]

from starlingdeck.cli import start  # noqa: E402

if __name__ == "__main__":
    start()
