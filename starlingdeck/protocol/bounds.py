"""Limits and patterns that external input is checked against; `docs/operations.md` lists them."""

import re
from typing import Annotated

from msgspec import Meta

MAX_AMOUNT = 1e9
# An amount of cpus, gpus or memory is 0 or at least this: a capacity divided by a smaller size
# could overflow to an infinite number of tasks.
MIN_NONZERO_SIZE = 1e-6
MAX_NAME_LENGTH = 120
MAX_MACHINE_TYPES_PER_JOB = 64
MAX_TASKS_PER_JOB = 100_000
MAX_TASK_DIGITS = 6  # of a task's number within its job
MAX_COUNTED_RESOURCES_PER_JOB = 16
MAX_UNITS = 1_000_000  # of one counted resource

JOB_ID_PATTERN = re.compile(r"j-[0-9]{1,18}")
# The name of a counted resource.
RESOURCE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,59}")
# Any text without control characters; may be empty.
PRINTABLE_NAME_PATTERN = re.compile(rf"[^\x00-\x1f\x7f]{{0,{MAX_NAME_LENGTH}}}")

Amount = Annotated[float, Meta(ge=0)]
Attempt = Annotated[int, Meta(ge=0, lt=1 << 32)]
Counter = Annotated[int, Meta(ge=0)]
JobId = Annotated[str, Meta(pattern=rf"^{JOB_ID_PATTERN.pattern}$")]
# Host names are inserted into keys of the state service and into log lines without escaping.
HostName = Annotated[str, Meta(pattern=rf"\A[^\x00-\x20\x7f/]{{1,{MAX_NAME_LENGTH}}}\Z")]
PrintableName = Annotated[str, Meta(pattern=rf"\A{PRINTABLE_NAME_PATTERN.pattern}\Z")]
