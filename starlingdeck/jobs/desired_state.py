"""Builds the desired-state messages that a job shard sends to machine shards."""

from typing import TYPE_CHECKING

from starlingdeck.interning import split_key, task_key
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.outbox import Outbox
from starlingdeck.protocol import peer_pb2 as pb

if TYPE_CHECKING:
    from starlingdeck.jobs.job_shard import JobShard


class DesiredStateBuilder:
    """Builds the desired-state messages of one job shard."""

    def __init__(self, shard: "JobShard") -> None:
        self.shard = shard
        self.context = shard.context

    def build_message(
        self, to_shard: int, to_epoch: int, full: bool, watermark_ms: int
    ) -> pb.DesiredState:
        """Build the next message to a machine shard's owner: which tasks are to run there.

        The message has all tasks if `full` is set or required, else the changes since the last
        message. Call this only while this controller certainly owns the job shard: the receiver
        relies on no other cancellation having been made up to `watermark_ms`, a time by the
        receiver's clock.
        """
        outbox = self.shard.outboxes[to_shard]
        full = full or outbox.full or outbox.epoch != to_epoch
        if outbox.epoch != to_epoch:
            outbox.epoch, outbox.acked_seq, outbox.unacked = to_epoch, 0, []
        outbox.seq += 1
        message = pb.DesiredState(
            from_shard=self.shard.shard,
            from_token=self.shard.base_token,
            to_shard=to_shard,
            to_epoch=to_epoch,
            seq=outbox.seq,
            full=full,
            watermark_ms=watermark_ms,
        )
        if full:
            keys, numbers = self._all_task_keys(to_shard), {}
        else:
            keys, numbers = outbox.changed, self._add_changes(message, outbox)
        self._add_tasks(message, outbox, keys, numbers)
        outbox.full = False
        outbox.changed, outbox.removed, outbox.changed_jobs = set(), set(), set()
        outbox.sent_at = self.context.now()
        return message

    def _all_task_keys(self, to_shard: int) -> set[int]:
        return {
            task_key(job.index, task)
            for job in self.shard.jobs.values()
            for task, placement in job.placements.items()
            if placement.shard == to_shard
        }

    def _add_changes(self, message: pb.DesiredState, outbox: Outbox) -> dict[int, int]:
        """Add removed tasks and changed jobs; return these jobs' positions in the message."""
        context, jobs = self.context, self.shard.jobs
        for key, machine in outbox.removed:
            index, task = split_key(key)
            message.removed.add(
                job=context.job_names[index], task=task, machine=context.machine_names[machine]
            )
        numbers: dict[int, int] = {}
        for index in outbox.changed_jobs & jobs.keys():
            numbers[index] = len(message.jobs)
            message.jobs.append(job_message(jobs[index]))
        return numbers

    def _add_tasks(
        self, message: pb.DesiredState, outbox: Outbox, keys: set[int], numbers: dict[int, int]
    ) -> None:
        """Add tasks, and those of their jobs that have no position in the message yet.

        `numbers` has these positions by job index, and is updated.
        """
        context, jobs = self.context, self.shard.jobs
        seq, to_epoch = outbox.seq, outbox.epoch
        for key in keys:
            index, task = split_key(key)
            job = jobs[index]
            placement = job.placements[task]
            number = numbers.get(index)
            if number is None:
                number = numbers[index] = len(message.jobs)
                message.jobs.append(job_message(job))
            if placement.published_epoch != to_epoch:
                placement.published_seq, placement.published_epoch = seq, to_epoch
                outbox.unacked.append((seq, key))
            message.tasks.add(
                job=number,
                task=task,
                attempt=placement.attempt,
                machine=context.machine_names[placement.machine],
                session=placement.session,
                # An attempt that is over is sent as one to stop until its end is recorded: a new
                # owner of the machine shard doesn't know that it was refused, and would start it.
                stop=job.cancelled
                or placement.target is not None
                or placement.releasing
                or task in job.pending_ends,
                grace_s=0.0 if job.cancelled else placement.grace_s,
                protected=placement.protected,
            )


def job_message(job: Job) -> pb.Job:
    """Return a job's description for the owners of the machines that it runs on."""
    spec = job.spec
    return pb.Job(
        id=job.id,
        team=job.team,
        rank=spec.rank,
        cpus=spec.cpus,
        gpus=spec.gpus,
        memory_gb=spec.memory_gb,
        image=spec.image,
        image_gb=spec.image_gb,
        checkpoint_s=spec.checkpoint_s,
        save_s=spec.save_s,
        service=spec.service,
        estimate_s=spec.estimate_s,
        spot=spec.spot,
        guaranteed=job.guaranteed,
        failure_evidence=job.failure_evidence,
    )
