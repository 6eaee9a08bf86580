"""Job state: the jobs of a shard, their durable records, and the commit log.

`job_shard` has the jobs of an owned shard in memory. `attempt_evaluation` ends attempts by what
machine shards report, `desired_state` tells those what is to run. `update_drafter` and
`update_applier` turn changes into writes and apply them once they are durable; `record_writer`
(with `write_batch`) and `group_commit` (with `commit_log`) send them. `loader`, `mailbox` and
`log_reader` read what others have written. `admission` has the interface of limits.
"""
