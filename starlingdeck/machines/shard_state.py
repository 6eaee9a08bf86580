"""The state shared by the parts of a machine shard: machines, jobs and pending changes."""

from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.context import ControllerContext, Resources, fits, machine_capacity
from starlingdeck.interning import split_key
from starlingdeck.machines.machine import JobInfo, Machine
from starlingdeck.protocol import api

HEARTBEAT_TIMEOUT_LEASE_SHARE = 2 / 3  # share of the duration of a lease
HEARTBEAT_FRESH_INTERVALS = 2.5  # how long a message counts as fresh, in report intervals
HEARTBEAT_FRESH_MARGIN_S = 0.5
# A machine that reports as many ended attempts is not schedulable until some have been removed.
MAX_ENDED_ATTEMPTS = 256
# A report lists all tasks of its machine, ended ones too, and may take 64 KiB at most.
MAX_TASKS_PER_MACHINE = 512
DELETED_RETENTION_S = 600.0  # how long late reports of a deleted machine are recognised


class ShardState:
    """The machines of one shard, and what is known of the jobs with tasks there.

    `token` may rise while the shard is owned; `base_token` is the first one of this ownership. Only
    machines that changed are processed: those in `to_reconcile` are to be reconciled, and those in
    `to_publish` go into the next snapshot. Times are in seconds of the controller's steady clock.
    """

    def __init__(
        self, context: ControllerContext, shard: int, token: int, epoch: int, wait_s: float
    ) -> None:
        self.context = context
        self.shard = shard
        self.token = token
        self.base_token = token
        self.epoch = epoch
        # Until this time, workers that are silent here may hold leases renewed by a former owner.
        self.former_leases_end_at = context.now() + wait_s + context.lease_expiry_s
        workers = context.settings.settings.workers
        self.heartbeat_fresh_s = (
            HEARTBEAT_FRESH_INTERVALS * workers.report_s + HEARTBEAT_FRESH_MARGIN_S
        )
        self.lease_s = workers.lease_s
        # A machine whose last report is older is not schedulable, even if it answers commands.
        self.heartbeat_timeout_s = max(
            self.heartbeat_fresh_s, workers.lease_s * HEARTBEAT_TIMEOUT_LEASE_SHARE
        )
        self.machines: dict[int, Machine] = {}
        self.jobs: dict[int, JobInfo] = {}
        self.job_shards: dict[int, int] = {}  # job -> its shard, computed once
        self.to_reconcile: set[int] = set()
        self.to_publish: set[int] = set()
        self.removed_machines: set[int] = set()  # removed since the last snapshot
        # Machine -> time of deletion; late reports of the machine may still arrive.
        self.deleted_machines: dict[int, float] = {}
        self.termination_noticed: set[int] = set()
        # Machines published without free capacity, because a task there was of an unknown job.
        self.awaiting_job_info: set[int] = set()
        self.changed = True  # whether there is anything to publish

    def mark_changed(self, index: int) -> None:
        """Schedule a machine to be reconciled and published."""
        self.schedule_reconcile(index)
        self.to_publish.add(index)
        self.changed = True

    def schedule_reconcile(self, index: int) -> None:
        """Schedule a machine to be reconciled, whether or not it is known yet."""
        self.to_reconcile.add(index)
        machine = self.machines.get(index)
        if machine is not None:
            machine.reconciled = False

    def schedule_publish(self, machine: Machine) -> None:
        """Schedule a machine for the next snapshot."""
        self.to_publish.add(machine.index)
        self.changed = True

    def mark_unconfirmed(self, machine: Machine) -> None:
        """Record that a machine may not receive our messages.

        It is not schedulable until it has answered a command or reported a later token.
        """
        if machine.unconfirmed_since is None:
            machine.unconfirmed_since = self.context.now()
            self.mark_changed(machine.index)

    def mark_confirmed(self, machine: Machine) -> None:
        """Record that a machine has proved that it receives our messages."""
        if machine.unconfirmed_since is not None:
            machine.unconfirmed_since = None
            self.mark_changed(machine.index)

    def is_fenced(self, machine: Machine) -> bool:
        """Return whether nothing sent under an older token, or unanswered, can still act."""
        return machine.token >= self.base_token and machine.unconfirmed_token == 0

    def is_schedulable(self, machine: Machine) -> bool:
        """Return whether new tasks may be placed on a machine.

        The first messages of a machine after a network partition are delayed reports, from a
        session that may have ended long ago. Tasks placed there in such a session were released
        when the next report arrived, and placed again. So the machine must first have answered a
        command or reported a later token.
        """
        return (
            not machine.lost
            and not machine.draining
            and machine.faulty_since is None
            and machine.unconfirmed_since is None
            and machine.token >= self.base_token
            and machine.ended_tasks < MAX_ENDED_ATTEMPTS
            and self.context.now() - machine.last_message_at < self.heartbeat_fresh_s
            # Commands may reach a machine whose reports don't arrive, but they renew no lease.
            and self.context.now() - machine.last_heartbeat_at < self.heartbeat_timeout_s
        )

    def capacity(self, machine: Machine) -> Resources | None:
        """Return all of a machine's resources; None while its type is not known."""
        machine_type = self.context.machine_types.get(machine.type)
        return None if machine_type is None else machine_capacity(machine_type)

    def available(self, machine: Machine) -> list[float] | None:
        """Return what the reported tasks, pending launches and reservations leave free.

        None while the machine's type or one of the jobs is not known. A machine that may get no
        further task has nothing free.
        """
        total = self.capacity(machine)
        if total is None:
            return None
        free = list(total)
        allocated = {
            k for k, observed in machine.tasks.items() if observed.state != api.TASK_EXITED
        }
        allocated |= machine.pending_launches.keys() | machine.reservations.keys()
        for key in allocated:
            info = self.jobs.get(split_key(key)[0])
            if info is None:
                return None
            for d in range(3):
                free[d] -= info.size[d]
        if not self.may_add_task(machine):
            return [min(0.0, amount) for amount in free]
        return free

    def may_add_task(self, machine: Machine) -> bool:
        """Return whether a machine's reports have room for one more task.

        A report that is too long is refused, and the machine's lease ends with all that runs there.
        """
        tasks = len(machine.tasks)
        others = machine.pending_launches.keys() | machine.reservations.keys()
        return tasks + len(others - machine.tasks.keys()) < MAX_TASKS_PER_MACHINE

    def has_capacity_for(self, machine: Machine, info: JobInfo) -> bool:
        """Return whether a task of the job fits beside all that is allocated on the machine."""
        free = self.available(machine)
        return free is not None and fits(info.size, free) and self.may_add_task(machine)

    def shard_of_task(self, key: int) -> int:
        """Return the shard of a task's job."""
        job = split_key(key)[0]
        shard = self.job_shards.get(job)
        if shard is None:
            shard = self.job_shards[job] = shard_of_job(
                self.context.job_names[job], self.context.shard_count
            )
        return shard

    def task_name(self, key: int) -> str:
        """Return a task's name on the wire."""
        job, number = split_key(key)
        return api.task_name(self.context.job_names[job], number)

    def mark_deleted(self, name: str) -> None:
        """Record that the cloud has deleted a machine, which ends all tasks on it."""
        index = self.context.machine_names.intern(name)
        if index not in self.deleted_machines:
            self.deleted_machines[index] = self.context.now()
            if self.machines.pop(index, None) is not None:
                self.removed_machines.add(index)
            self.changed = True

    def is_deleted(self, name: str) -> bool:
        """Return whether a machine is known to be deleted; any report of it is then a late copy."""
        return self.context.machine_names.find(name) in self.deleted_machines

    def retain_jobs(self, live: set[int]) -> None:
        """Keep only these jobs."""
        self.jobs = {j: info for j, info in self.jobs.items() if j in live}
        self.job_shards = {j: shard for j, shard in self.job_shards.items() if j in live}

    def retain_deleted(self, named: set[int]) -> None:
        """Forget the machines deleted long ago, except those that desired states name."""
        kept_since = self.context.now() - DELETED_RETENTION_S
        self.deleted_machines = {
            m: at for m, at in self.deleted_machines.items() if at > kept_since or m in named
        }
