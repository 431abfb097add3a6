"""Parameters of the membership protocol; docs/membership.md gives the reason for each."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

# Members covered by one anti-entropy comparison.
BUCKET_MEMBERS = 16


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Intervals, timeouts and bounds of the protocol.

    The operator's file sets most of them in ms under its own keys, which `service.py` converts.

    Attributes:
        probe_interval_ns: Time between the starts of two probes; SWIM's protocol period.
        ping_timeout_ns: Time to wait for a direct ACK before probing indirectly.
        probe_timeout_ns: Time to wait for any ACK before suspecting the target.
        indirect_probes: Number of helpers that receive a ping-req; SWIM's k.
        suspicion_min_ns: Time from the start of the failed probe to DEAD with all `confirmations`.
        suspicion_max_ns: Time from the start of the failed probe to DEAD without confirmation.
        confirmations: Number of reporters, besides the first, at which the time to DEAD is the minimum.
        max_reported_suspicion_age_ns: Cap on the age of a suspicion that another member reports.
        gossip_interval_ns: Time between two gossip rounds.
        urgent_gossip_interval_ns: Time between two gossip rounds while a suspicion or refutation is new.
        fanout: Number of members that receive each gossip round.
        retransmit_multiplier: Transmissions of an update, as a multiple of ceil(log10(fleet size + 1)).
        anti_entropy_interval_ns: Time between two bucket comparisons while views are settled.
        unsettled_period_ns: Time after a change of the view in which comparisons are more frequent.
        reconnect_interval_ns: Time between two rounds of pings to dead or unknown members.
        pause_threshold_ns: Delay of a tick, after its due time, beyond which this process counts as paused.
        pause_grace_ns: Time after a pause in which this member raises no suspicion.
        max_broadcasts: Maximum number of queued updates.
        max_probes: Maximum number of this member's own probes in flight.
        max_relays: Maximum number of pings in flight on behalf of other members.
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
