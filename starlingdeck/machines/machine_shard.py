"""A machine shard: its workers' reports, the commands to them, and its capacity.

The job shards send their desired state here; reports show the actual state. `reconcile` computes
the difference and may be repeated at any time. What the machines report goes back to the job
shards in snapshots. Desired states and snapshots are sent as changes, and only the machines that
changed are processed.
"""

from starlingdeck.context import ControllerContext
from starlingdeck.machines.commands import CommandBuilder
from starlingdeck.machines.descheduling import Descheduler
from starlingdeck.machines.desired_state import DesiredStateTracker
from starlingdeck.machines.fault_detection import FaultDetector
from starlingdeck.machines.lease_monitor import LeaseMonitor
from starlingdeck.machines.machine import DesiredTask, JobInfo, Machine
from starlingdeck.machines.reconciler import Reconciler
from starlingdeck.machines.report_intake import ReportIntake
from starlingdeck.machines.reservations import ReservationManager
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.machines.snapshot_publisher import SnapshotPublisher
from starlingdeck.machines.start_fence import StartFence
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb


class MachineShard:
    """The machines of one shard, while this controller owns it.

    Its parts share a `ShardState`; each has its own concern and state. This class connects them
    and is what the rest of the controller uses.
    """

    def __init__(
        self, context: ControllerContext, shard: int, token: int, epoch: int, wait_s: float
    ) -> None:
        """Create the shard. A former owner may still renew workers' leases for `wait_s` seconds."""
        self.context = context
        self.shard = shard
        self.epoch = epoch
        self.base_token = token
        self.state = ShardState(context, shard, token, epoch, wait_s)
        self.faults = FaultDetector(self.state)
        self.desired = DesiredStateTracker(self.state, self.faults)
        self.fence = StartFence(self.state)
        self.reports = ReportIntake(self.state, self.faults, self.fence)
        self.reservations = ReservationManager(self.state, self.desired, self.fence)
        self.commands = CommandBuilder(self.state, self.desired, self.fence)
        self.reconciler = Reconciler(self.state, self.desired, self.faults, self.fence)
        self.descheduler = Descheduler(self.state)
        self.leases = LeaseMonitor(self.state, self.fence)
        self.publisher = SnapshotPublisher(self.state, self.desired)
        self.machines = self.state.machines
        self.unconfirmed_reports = 0  # reports refused because a job shard's watermark was too old

    @property
    def token(self) -> int:
        """The fencing token of the commands; it may rise while the shard is owned."""
        return self.state.token

    @token.setter
    def token(self, token: int) -> None:
        self.state.token = token
        self.fence.on_token_raised()

    @property
    def changed(self) -> bool:
        """Whether there is anything to publish."""
        return self.state.changed

    @property
    def to_reconcile(self) -> set[int]:
        """The machines that are due to be reconciled."""
        return self.state.to_reconcile

    @property
    def jobs(self) -> dict[int, JobInfo]:
        """The attributes of the jobs with tasks here, by job index."""
        return self.state.jobs

    @property
    def deleted_machines(self) -> dict[int, float]:
        """The machines deleted recently, and when."""
        return self.state.deleted_machines

    @property
    def desired_tasks(self) -> dict[int, dict[int, dict[int, DesiredTask]]]:
        """The tasks that the job shards desire, by job shard, machine and task key."""
        return self.desired.desired_tasks

    @property
    def watermarks(self) -> dict[int, float]:
        """The cancellation watermarks by job shard."""
        return self.desired.watermarks

    @property
    def received_seqs(self) -> dict[int, tuple[int, int]]:
        """The token and sequence number of the last desired state received, by job shard."""
        return self.desired.received_seqs

    @property
    def stale_reports(self) -> int:
        """The number of stale reports received."""
        return self.reports.stale_reports

    # --- reports and commands

    def is_stale_report(self, report: api.Report) -> bool:
        """Return whether a report is stale and not to be answered with 200; see `ReportIntake`."""
        return self.reports.is_stale(report)

    def apply_report(
        self, report: api.Report, renews: bool, sent_position: tuple[int, int] | None = None
    ) -> Machine:
        """Apply a report, or the answer to a command (`renews` False); see `ReportIntake`."""
        return self.reports.apply(report, renews, sent_position)

    def pending_commands(self, machine: Machine, reaps: bool) -> list[api.Command]:
        """Return the stops and reaps that the newest report calls for."""
        return self.commands.pending(machine, reaps)

    def piggybacked_starts(self, machine: Machine) -> list[api.Command]:
        """Return the starts to send in the answer to a report."""
        return self.commands.piggybacked_starts(machine)

    def commands_for(self, machine: Machine, starts: bool) -> api.Commands:
        """Return what to send to a worker now."""
        return self.commands.commands_for(machine, starts)

    def on_command_unanswered(
        self, machine: Machine, commands: api.Commands, maybe_sent: bool
    ) -> None:
        """Record that commands got no answer; see `CommandBuilder`."""
        self.commands.on_unanswered(machine, commands, maybe_sent)

    def on_command_rejected(self, machine: Machine) -> None:
        """Schedule a retry after the worker answered 409, which means it executed nothing."""
        self.commands.on_rejected(machine)

    # --- desired state and reservations

    def apply_desired_state(self, message: pb.DesiredState) -> bool:
        """Apply a job shard's desired state; return False when the full state must be requested."""
        return self.desired.apply(message)

    def watermark_age_s(self, machine: Machine) -> float:
        """Return the age of the oldest watermark among the job shards with tasks on a machine."""
        return self.desired.watermark_age_s(machine)

    def reserve(self, message: pb.ReserveRequest) -> pb.ReserveReply:
        """Reserve capacity for the tasks of a request; the reply names those that got it."""
        return self.reservations.reserve(message)

    # --- periodic work

    def expire_leases(self) -> None:
        """Mark the machines as lost whose sessions must all be over."""
        self.leases.expire()

    def deschedule(self) -> None:
        """Choose the tasks that are to leave the changed machines."""
        self.descheduler.run()

    def reconcile(self) -> list[Machine]:
        """Turn desired state into launches or refusals; return the machines with commands due."""
        return self.reconciler.run()

    def prune(self) -> None:
        """Forget the jobs that nothing here refers to, and the machines deleted long ago."""
        self.reconciler.prune()

    def needs_new_token(self) -> bool:
        """Return whether the shard's token is to be raised."""
        return self.leases.needs_new_token()

    # --- snapshots

    def snapshot_update(self, valid: bool) -> pb.Snapshot:
        """Return a snapshot of what has changed since the last one."""
        return self.publisher.update(valid)

    def full_snapshot(self, valid: bool) -> pb.Snapshot:
        """Return a snapshot of the whole shard, for a new follower."""
        return self.publisher.full(valid)

    # --- machines

    def mark_changed(self, index: int) -> None:
        """Schedule a machine to be reconciled and published."""
        self.state.mark_changed(index)

    def mark_deleted(self, name: str) -> None:
        """Record that the cloud has deleted a machine, which ends all tasks on it."""
        self.state.mark_deleted(name)

    def is_deleted(self, name: str) -> bool:
        """Return whether a machine is known to be deleted."""
        return self.state.is_deleted(name)

    def is_schedulable(self, machine: Machine) -> bool:
        """Return whether new tasks may be placed on a machine."""
        return self.state.is_schedulable(machine)

    def shard_of_task(self, key: int) -> int:
        """Return the shard of a task's job."""
        return self.state.shard_of_task(key)

    def unreachable_ages_s(self) -> list[float]:
        """Return for how many seconds each unreachable machine has been unreachable."""
        return self.leases.unreachable_ages_s()
