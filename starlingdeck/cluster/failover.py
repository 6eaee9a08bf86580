"""When a controller may take over a shard, and how long its former owners may still act."""

from collections.abc import Iterable

from starlingdeck.cluster.sharding import failover_candidates
from starlingdeck.context import ControllerContext
from starlingdeck.storage.records import ShardValue

# Candidates become eligible to take over an unowned shard one after another, this far apart.
FAILOVER_STAGGER_S = 0.3
# For this long only the home controller may take over its unowned shard.
HOME_GRACE_S = 0.3


def takeover_delay_s(context: ControllerContext, shard: int, live_nodes: Iterable[int]) -> float:
    """Return how long a shard must have been unowned before this controller takes it over."""
    if shard == context.node:
        return 0.0
    candidates = sorted({*live_nodes, context.node})
    order = failover_candidates(shard, context.shard_zones, candidates)
    return order.index(context.node) * FAILOVER_STAGGER_S + HOME_GRACE_S


def former_owner_renewal_s(context: ControllerContext, value: ShardValue) -> float:
    """Return how long earlier owners of a shard may still renew workers' leases, in seconds.

    `value` is the shard key's value that a former process of this controller wrote. That process
    has ended and renews no leases. But it may have taken the shard over shortly before from a
    controller that is cut off and still renews them. A controller that restarts within a fraction
    of a second must therefore not declare a silent machine lost yet.
    """
    if not value.former_leases_end_ms:
        return 0.0
    max_skew_ms = 2 * context.settings.settings.skew_ms
    left_ms = value.former_leases_end_ms + max_skew_ms - context.wall_clock_ms()
    return min(max(0.0, left_ms / 1000), context.outage_renewal_s)
