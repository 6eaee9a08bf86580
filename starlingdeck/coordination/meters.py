"""How long answers and starts took: histograms that a log line shows now and then."""

from hdrh.histogram import HdrHistogram

MOST_MS = 600_000
DIGITS = 2
SHARES = (50.0, 90.0, 99.0)


class Meters:
    """One histogram of milliseconds a name, from one log line to the next."""

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}

    def note(self, name: str, seconds: float) -> None:
        found = self.histograms.get(name)
        if found is None:
            found = self.histograms[name] = HdrHistogram(1, MOST_MS, DIGITS)
        found.record_value(min(MOST_MS, max(1, int(seconds * 1000))))

    def lines(self) -> list[str]:
        """What was noted since the last call, and forget it."""
        out = []
        for name, found in sorted(self.histograms.items()):
            count = found.get_total_count()
            if count:
                marks = "/".join(str(found.get_value_at_percentile(s)) for s in SHARES)
                out.append(f"{name}: {count}, p50/p90/p99 {marks} ms, most {found.get_max_value()}")
                found.reset()
        return out
