"""When a controller may take over a shard, and how long its former owners may still act."""

from collections.abc import Iterable

from starlingdeck.cluster.sharding import failover_candidates
from starlingdeck.context import ControllerContext
from starlingdeck.storage.records import ShardValue

FAILOVER_STAGGER_S = 0.3  # between the takeover attempts of successive candidates
HOME_GRACE_S = 0.3  # how long an unowned shard is left to its home controller


def takeover_delay_s(context: ControllerContext, shard: int, live_nodes: Iterable[int]) -> float:
    """How long a shard must have been unowned before this controller takes it over."""
    if shard == context.node:
        return 0.0
    candidates = sorted({*live_nodes, context.node})
    order = failover_candidates(shard, context.shard_zones, candidates)
    return order.index(context.node) * FAILOVER_STAGGER_S + HOME_GRACE_S


def former_owner_renewal_s(context: ControllerContext, value: ShardValue) -> float:
    """How long owners before this controller's last ownership may still renew workers' leases.

    `value` is the shard key's value that a former process of this controller wrote. That process
    is dead and renews none. But it may have just taken the shard over from a controller that is
    cut off and goes on renewing: restarted within a fraction of a second, this controller must not
    yet take a silent machine for lost.
    """
    if not value.former_leases_end_ms:
        return 0.0
    max_skew_ms = 2 * context.settings.settings.skew_ms
    left_ms = value.former_leases_end_ms + max_skew_ms - context.wall_clock_ms()
    return min(max(0.0, left_ms / 1000), context.outage_renewal_s)
