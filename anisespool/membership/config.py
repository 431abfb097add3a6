"""Parameters of the membership protocol; docs/membership.md gives the reason of each."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

BUCKET_MEMBERS = 16  # that one comparison of anti-entropy covers


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Intervals, timeouts and bounds of the protocol.

    The operator's file sets most of them, under its own keys in ms: `service.py` converts them.

    Attributes:
        probe_interval_ns: Between the starts of two probes; SWIM's protocol period.
        ping_timeout_ns: For a direct ACK, before indirect probes begin.
        probe_timeout_ns: For any ACK, before the target is suspected.
        indirect_probes: Helpers that are sent a ping-req; SWIM's k.
        suspicion_min_ns: From the start of the failed probe to DEAD, with all `confirmations`.
        suspicion_max_ns: The same without confirmation.
        confirmations: Independent reporters beside the first that bring the time down to the minimum.
        max_reported_suspicion_age_ns: At most so much of the age counts that another member reports.
        gossip_interval_ns: Between two rounds of gossip.
        urgent_gossip_interval_ns: The same while a suspicion or a refutation is new.
        fanout: Members that receive each round of gossip.
        retransmit_multiplier: Transmissions of an update, times log10 of the fleet's size.
        anti_entropy_interval_ns: Between two comparisons of a bucket, while views are settled.
        unsettled_period_ns: After a change of the view, in which comparisons are more frequent.
        reconnect_interval_ns: Between two rounds of pings to members that are dead or without an update.
        pause_threshold_ns: A tick later than this is a pause: this process itself did not run.
        pause_grace_ns: After a pause, before this member raises a suspicion.
        max_broadcasts: Updates in the queue.
        max_probes: This member's own probes in flight.
        max_relays: Pings in flight on behalf of others.
    """

    probe_interval_ns: int = 120 * NS_PER_MS
    ping_timeout_ns: int = 200 * NS_PER_MS
    probe_timeout_ns: int = 500 * NS_PER_MS
    indirect_probes: int = 3
    suspicion_min_ns: int = 2400 * NS_PER_MS
    suspicion_max_ns: int = 3500 * NS_PER_MS
    confirmations: int = 3
    max_reported_suspicion_age_ns: int = 1000 * NS_PER_MS
    gossip_interval_ns: int = 200 * NS_PER_MS
    urgent_gossip_interval_ns: int = 50 * NS_PER_MS
    fanout: int = 3
    retransmit_multiplier: int = 3
    anti_entropy_interval_ns: int = 1000 * NS_PER_MS
    unsettled_period_ns: int = 3000 * NS_PER_MS
    reconnect_interval_ns: int = 1000 * NS_PER_MS
    pause_threshold_ns: int = 300 * NS_PER_MS
    pause_grace_ns: int = 1000 * NS_PER_MS
    max_broadcasts: int = 512
    max_probes: int = 8
    max_relays: int = 64
