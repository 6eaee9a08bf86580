"""Job state: the jobs of a shard, their durable records, and the commit log.

`job_shard` holds the jobs of an owned shard in memory. `attempt_evaluation` ends attempts according
to the snapshots of machine shards, and `desired_state` tells machine shards which tasks to run.
`update_drafter` turns changes into writes, `record_writer` (with `write_batch`) and `group_commit`
(with `commit_log`) send them, and `update_applier` applies them once they are durable. `loader`,
`mailbox` and `log_reader` read what other controllers have written. `zone_rules` decides by zones
where a job's next tasks may be placed, and how many. `admission` defines the interface that limits
on starting tasks implement.
"""
