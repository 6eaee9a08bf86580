"""Dense integer ids for names, and one integer for a task of a job."""


class InternTable:
    """Gives each name an integer, counting from 0, for as long as the process runs."""

    def __init__(self) -> None:
        self.ids: dict[str, int] = {}
        self.names: list[str] = []

    def intern(self, name: str) -> int:
        """The id of a name, a new one if it has none yet."""
        found = self.ids.get(name)
        if found is None:
            found = self.ids[name] = len(self.names)
            self.names.append(name)
        return found

    def find(self, name: str) -> int | None:
        """The id of a name; None if it has none."""
        return self.ids.get(name)

    def __getitem__(self, index: int) -> str:
        """The name with an id."""
        return self.names[index]


MAX_TASKS_PER_JOB = 131_072


def task_key(job: int, task: int) -> int:
    """One integer for a job's id in its table and a task's number."""
    return job * MAX_TASKS_PER_JOB + task


def split_key(key: int) -> tuple[int, int]:
    """The job's id and the task's number of a task key."""
    return divmod(key, MAX_TASKS_PER_JOB)
