"""Dense integer ids for names, and integer keys for the tasks of jobs."""


class InternTable:
    """Assigns each name an integer id, counting from 0, and keeps it until the process ends."""

    def __init__(self) -> None:
        self.ids: dict[str, int] = {}
        self.names: list[str] = []

    def intern(self, name: str) -> int:
        """Return the id of a name, and assign one if it has none yet."""
        found = self.ids.get(name)
        if found is None:
            found = self.ids[name] = len(self.names)
            self.names.append(name)
        return found

    def find(self, name: str) -> int | None:
        """Return the id of a name, or None if it has none."""
        return self.ids.get(name)

    def __getitem__(self, index: int) -> str:
        """Return the name with this id."""
        return self.names[index]


MAX_TASKS_PER_JOB = 131_072


def task_key(job: int, task: int) -> int:
    """Return one integer that encodes a job's interned id and a task's number."""
    return job * MAX_TASKS_PER_JOB + task


def split_key(key: int) -> tuple[int, int]:
    """Return the job's interned id and the task's number that a task key encodes."""
    return divmod(key, MAX_TASKS_PER_JOB)
