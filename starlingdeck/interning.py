"""Names become dense indices at the door."""


class InternTable:
    """Gives each name a small integer, for as long as the process lives."""

    def __init__(self) -> None:
        self.ids: dict[str, int] = {}
        self.names: list[str] = []

    def intern(self, name: str) -> int:
        found = self.ids.get(name)
        if found is None:
            found = self.ids[name] = len(self.names)
            self.names.append(name)
        return found

    def find(self, name: str) -> int | None:
        return self.ids.get(name)

    def __getitem__(self, index: int) -> str:
        return self.names[index]


MAX_TASKS_PER_JOB = 131_072


def task_key(job: int, task: int) -> int:
    """A job's index and a task's number in one integer."""
    return job * MAX_TASKS_PER_JOB + task


def split_key(key: int) -> tuple[int, int]:
    return divmod(key, MAX_TASKS_PER_JOB)
