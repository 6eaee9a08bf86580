"""What the controllers' time went to, minute by minute, from their logs at level debug.

    python3 scripts/costs.py LOG

LOG holds the controllers' lines as `SECONDS NODE LEVEL LOGGER: TEXT`, in order of time. Prints a
table a minute: machines known at its end, and for each kind of task the seconds of all controllers
and the longest run between two waits; then how long shards took to be read after a takeover.
"""

import re
import sys
from collections import defaultdict
from collections.abc import Iterable

LINE = re.compile(r"\s*([\d.]+) (\S+) [A-Z] \S+: (.*)")
RAN = re.compile(r"task run time: task=(\S+) runs=(\d+) total_s=([\d.]+) max_s=([\d.]+)")
ANSWER = re.compile(r"latency: operation=answer_(\w+) count=(\d+) .*p99_ms=([\d.]+)")
FIRST = re.compile(r"machine (\S+): first report")
TAKEN = re.compile(r"shard acquired: shard=(\d+)\b")
READ = re.compile(r"shard (\d+): (\d+) unfinished jobs read")
GONE = "returned to the cloud: "
SHOWN = 10  # kinds of task a minute


def tables(lines: Iterable[str]) -> Iterable[str]:
    """The report, line by line; seconds and milliseconds as logged."""
    machines: set[str] = set()
    spent: dict[int, dict[str, list[float]]] = defaultdict(
        lambda: defaultdict(lambda: [0, 0.0, 0.0])
    )
    answers: dict[int, dict[str, list[float]]] = defaultdict(lambda: defaultdict(lambda: [0, 0.0]))
    known: dict[int, int] = {}
    nodes: dict[int, set[str]] = defaultdict(set)
    taken: dict[tuple[str, str], float] = {}
    reads: list[tuple[float, str, float]] = []
    for line in lines:
        found = LINE.match(line)
        if found is None:
            continue
        at, node, text = float(found[1]), found[2], found[3]
        minute = round(at / 60)  # each controller says it a little after the minute
        if ran := RAN.match(text):
            kind = spent[minute][ran[1]]
            kind[0] += int(ran[2])
            kind[1] += float(ran[3])
            kind[2] = max(kind[2], float(ran[4]))
            known[minute] = len(machines)
            nodes[minute].add(node)
        elif answer := ANSWER.match(text):
            told = answers[minute][answer[1]]
            told[0] += int(answer[2])
            told[1] = max(told[1], float(answer[3]))
        elif first := FIRST.match(text):
            machines.add(first[1])
        elif text.startswith(GONE):
            machines.difference_update(text[len(GONE) :].split())
        elif shard := TAKEN.match(text):
            taken[(node, shard[1])] = at
        elif (read := READ.match(text)) and (node, read[1]) in taken:
            reads.append((at, read[2], at - taken.pop((node, read[1]))))
    for minute, kinds in sorted(spent.items()):
        total = sum(kind[1] for kind in kinds.values())
        share = total / 60 / max(1, len(nodes[minute]))
        yield f"minute {minute}: {known[minute]} machines, {total:.1f} s, {share:.3f} of a core"
        for name, (runs, seconds, longest) in sorted(kinds.items(), key=lambda k: -k[1][1])[:SHOWN]:
            yield f"  {name:32} {runs:8.0f} runs {seconds:7.2f} s, longest {longest:.3f} s"
        for name, (count, p99) in sorted(answers[minute].items()):
            yield f"  answers to {name:10} {count:6.0f}, p99 {p99:.0f} ms at the slowest"
    for at, jobs, seconds in reads:
        yield f"at {at:.1f} s: {jobs} unfinished jobs read {seconds:.3f} s after a takeover"


if __name__ == "__main__":
    with open(sys.argv[1]) as log:
        for row in tables(log):
            print(row)
