"""Start one controller: run.py --config PATH."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "target" / "deps"))
sys.path.insert(0, str(ROOT))

from starlingdeck.cli import start  # noqa: E402

if __name__ == "__main__":
    start()
