"""Bounds and patterns of what comes in from outside; `docs/operations.md` lists them."""

import re
from typing import Annotated

from msgspec import Meta

MAX_AMOUNT = 1e9
MIN_SIZE = 1e-6  # of a resource a task takes any of: a smaller one divides into infinitely many
MAX_NAME_LENGTH = 120
MAX_MACHINE_TYPES = 64  # that a job may name
MAX_TASKS = 100_000  # of a job
MAX_TASK_DIGITS = 6
MAX_COUNTED_RESOURCES = 16  # that a job may name
MAX_UNITS = 1_000_000  # of a counted resource

JOB_ID = re.compile(r"j-[0-9]{1,18}")
COUNT = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,59}")  # the name of a counted resource
NAME = re.compile(rf"[^\x00-\x1f\x7f]{{0,{MAX_NAME_LENGTH}}}")

Amount = Annotated[float, Meta(ge=0)]
Attempt = Annotated[int, Meta(ge=0, lt=1 << 32)]
Counter = Annotated[int, Meta(ge=0)]
JobId = Annotated[str, Meta(pattern=rf"^{JOB_ID.pattern}$")]
# Part of keys of the state service and of log lines, without escaping.
HostName = Annotated[str, Meta(pattern=rf"\A[^\x00-\x20\x7f/]{{1,{MAX_NAME_LENGTH}}}\Z")]
OtherName = Annotated[str, Meta(pattern=rf"\A{NAME.pattern}\Z")]
