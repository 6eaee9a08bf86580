"""Job state: the jobs of a shard, their durable records, and the commit log."""
