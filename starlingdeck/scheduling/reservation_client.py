"""Requests reservations from machines' owners, and turns granted ones into starts and moves.

A reservation granted to a waiting task becomes a pending start, to be written to its job's record;
one granted to a running task becomes the target of its move.
"""

import logging
from typing import NamedTuple

import curio

from starlingdeck.cluster.peers import PeerUnavailableError
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.desired_state import job_message
from starlingdeck.jobs.job import TASK_STATE_NAMES, Job, TaskPlacement
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings
from starlingdeck.scheduling.decision import PlacementDecision
from starlingdeck.scheduling.dependencies import PlannerDependencies
from starlingdeck.scheduling.priority import has_quota_pressure, wait_objective_s

log = logging.getLogger(__name__)

REFUSED_RETRY_S = 0.1  # delay before a task whose reservation was refused is placed again
PREEMPTION_RETRY_S = 0.15  # delay before a machine that preempts for a task is asked again
PREEMPTION_NOMINATION_S = 2.0  # how long a task waits for a machine that preempts for it
ACCUMULATE_RETRY_S = 0.4  # delay before a machine that accumulates capacity is asked again


class _RequestGroup(NamedTuple):
    """The properties shared by the decisions that are sent in one request."""

    shard: int
    job: int
    preempt: bool
    accumulate: bool


class _Answer(NamedTuple):
    """The reservations that a machine shard's owner granted for one request, by task."""

    granted: dict[int, pb.GrantedTask]
    requested_at: float
    hold_s: float  # how long reservations for moves last; 0 if no task was to be moved


class ReservationClient:
    """Sends the planner's decisions to the owners of the chosen machines."""

    def __init__(
        self,
        context: ControllerContext,
        dependencies: PlannerDependencies,
        overload_settings: OverloadSettings,
    ) -> None:
        self.context = context
        self.membership = dependencies.membership
        self.peers = dependencies.peers
        self.writers = dependencies.writers
        self.candidates = dependencies.candidates
        self.reserve_local = dependencies.reserve_local
        self.wake = dependencies.wake
        self.flush = dependencies.flush
        self.overload_settings = overload_settings

    async def request(self, decisions: list[PlacementDecision]) -> None:
        """Request reservations in the background, with one event loop task for each group."""
        groups: dict[_RequestGroup, list[PlacementDecision]] = {}
        for decision in decisions:
            job, candidate = decision.job, decision.candidate
            group = _RequestGroup(candidate.shard, job.index, decision.preempt, decision.accumulate)
            groups.setdefault(group, []).append(decision)
            if not decision.preempt:
                self.candidates.allocate(
                    candidate, (job.index, decision.task), job.size, job.spec.image
                )
        for group_decisions in groups.values():
            await curio.spawn(self._reserve, group_decisions, daemon=True)

    async def _reserve(self, decisions: list[PlacementDecision]) -> None:
        """Request the reservations of one group, and apply the answers to its job."""
        job, shard = decisions[0].job, decisions[0].candidate.shard
        owner = self.membership.owners.get(shard)
        granted: dict[int, pb.GrantedTask] = {}
        hold_s, requested_at = 0.0, self.context.now()
        if owner is not None:
            if any(decision.task in job.placements for decision in decisions):
                # A move's reservation has to last until the source has saved and stopped.
                hold_s = self.context.tuning.reserve_s + job.spec.save_s
            request = self._build_request(decisions, hold_s)
            request.to_shard, request.to_epoch = shard, owner.epoch
            granted = await self._send(owner.node, request)
        answer = _Answer(granted, requested_at, hold_s)
        for decision in decisions:
            await self._apply_answer(decision, answer)
        writer = self._current_writer(job)
        if job.pending_starts and writer is not None:
            writer.shard.dirty_jobs.add(job.index)
            await self.flush.set()

    async def _apply_answer(self, decision: PlacementDecision, answer: _Answer) -> None:
        """Apply the answer for one task: its reservation is used, or it is placed again later."""
        job, task, now = decision.job, decision.task, self.context.now()
        grant = answer.granted.get(task)
        _log_answer(decision, grant, now - answer.requested_at)
        job.reserving.pop(task, None)
        if not decision.preempt:
            self.candidates.resolve(decision.candidate, (job.index, task), grant is not None)
        if grant is None or grant.evicting or job.cancelled or job.terminal_state:
            self._retry_later(decision, grant, now)
            return
        job.nominated.pop(task, None)
        job.accumulating.discard(task)
        reserved_for_s = answer.hold_s or self.context.tuning.reserve_s
        target = TaskPlacement(
            decision.candidate.index,
            grant.session,
            grant.attempt,
            decision.candidate.shard,
            decision.candidate.zone,
            state_since=now,
            protected=decision.protected,
            reserved_until=answer.requested_at + reserved_for_s,
            machine_type=decision.candidate.type,
            spot=decision.candidate.spot,
        )
        await self._use_reservation(job, task, target, moves=answer.hold_s > 0)

    def _current_writer(self, job: Job) -> RecordWriter | None:
        """Return the writer of a job's shard; None if the job was read again, or isn't here."""
        writer = self.writers.get(job.shard)
        return writer if writer is not None and writer.shard.jobs.get(job.index) is job else None

    def _build_request(
        self, decisions: list[PlacementDecision], hold_s: float
    ) -> pb.ReserveRequest:
        job, accumulate = decisions[0].job, decisions[0].accumulate
        request = pb.ReserveRequest(
            job=job_message(job),
            preempt=decisions[0].preempt and not accumulate,
            accumulate=accumulate,
            quota_pressure=has_quota_pressure(self.context, job),
            wait_s=wait_objective_s(self.context, job),
            hold_s=hold_s,
        )
        for decision in decisions:
            request.tasks.add(
                task=decision.task,
                attempt=job.attempts[decision.task] + 1,
                machine=self.context.machine_names[decision.candidate.index],
            )
        return request

    async def _send(self, node: int, request: pb.ReserveRequest) -> dict[int, pb.GrantedTask]:
        """Send a request. Return the grants by task number; none if the owner can't be reached."""
        try:
            if node == self.context.node:
                reply = self.reserve_local(request)
            else:
                envelope = pb.Envelope(reserve_request=request)
                timeout_s = self.context.tuning.reply_wait_s
                reply = (await self.peers.call(node, envelope, timeout_s)).reserve_reply
        except PeerUnavailableError as error:
            log.info(
                "reservation request failed: controller=%s error=%s",
                self.context.node_name(node),
                error,
            )
            return {}
        return {grant.task: grant for grant in reply.granted}

    def _retry_later(
        self, decision: PlacementDecision, grant: pb.GrantedTask | None, now: float
    ) -> None:
        """Record when a task without a reservation is tried again.

        If its machine is making room for it, that machine stays nominated for the task.
        """
        job, task = decision.job, decision.task
        if not decision.preempt:
            job.retry_at[task] = now + REFUSED_RETRY_S
        elif grant is not None and grant.evicting:
            nomination_s, retry_s = PREEMPTION_NOMINATION_S, PREEMPTION_RETRY_S
            if decision.accumulate:
                nomination_s, retry_s = self.overload_settings.gather_s, ACCUMULATE_RETRY_S
            job.nominated.setdefault(task, (decision.candidate.index, now + nomination_s))
            job.retry_at[task] = now + retry_s
        else:
            job.nominated.pop(task, None)
            job.accumulating.discard(task)

    async def _use_reservation(
        self, job: Job, task: int, target: TaskPlacement, moves: bool
    ) -> None:
        """Start or move a task, unless it has ended or started elsewhere since the request.

        A reservation that is not used expires at the machine's owner.
        """
        writer = self._current_writer(job)
        if writer is None:
            unused = "job read again"
        elif task not in job.placements and job.may_start(task, target.attempt):
            job.pending_starts[task] = target
            return
        elif moves and job.may_move(task, target.attempt):
            await self._start_move(writer, job, task, target)
            return
        else:
            unused = TASK_STATE_NAMES[job.task_states[task]]
        log.info(
            "reservation not used: task=%s attempt=%d machine=%s reason=%s",
            api.task_name(job.id, task),
            target.attempt,
            self.context.machine_names[target.machine],
            unused,
        )

    async def _start_move(
        self, writer: RecordWriter, job: Job, task: int, target: TaskPlacement
    ) -> None:
        source = job.placements[task]
        source.target = target
        source.grace_s = job.grace_s
        log.info(
            "task move started: task=%s from_machine=%s to_machine=%s",
            api.task_name(job.id, task),
            self.context.machine_names[source.machine],
            self.context.machine_names[target.machine],
        )
        writer.shard.republish_task(job, task)
        await self.wake.set()


def _log_answer(decision: PlacementDecision, grant: pb.GrantedTask | None, waited_s: float) -> None:
    """Log what a reservation's answer found: the task may have changed while it was awaited."""
    if not log.isEnabledFor(logging.DEBUG):
        return
    job, task = decision.job, decision.task
    log.debug(
        "reservation answered: task=%s granted_attempt=%d waited_s=%.3f"
        " state=%s attempt=%d ending=%s",
        api.task_name(job.id, task),
        grant.attempt if grant is not None else 0,
        waited_s,
        TASK_STATE_NAMES[job.task_states[task]],
        job.attempts[task],
        task in job.pending_ends,
    )
