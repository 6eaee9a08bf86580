"""Names become dense indices at the door."""


class Names:
    """Gives each name a small integer, for as long as the process lives."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.text: list[str] = []

    def put(self, name: str) -> int:
        found = self.index.get(name)
        if found is None:
            found = self.index[name] = len(self.text)
            self.text.append(name)
        return found

    def get(self, name: str) -> int | None:
        return self.index.get(name)

    def __getitem__(self, index: int) -> str:
        return self.text[index]


TASKS_MAX = 131_072


def task_key(job: int, task: int) -> int:
    """A job's index and a task's number in one integer."""
    return job * TASKS_MAX + task


def split_key(key: int) -> tuple[int, int]:
    return divmod(key, TASKS_MAX)
