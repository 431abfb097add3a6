"""Gossip between simulated sidecars: datagrams that pass the scenario's links."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.lab.model.backend import hop_ns
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.simulated_run import SimulatedRun

HEADER_BYTES = 1  # encoded size of a message without observations
OBSERVATION_BYTES = 12  # encoded size of each observation


class Gossip:
    """Carries gossip messages between decision modules, with the network's mean one-way delay."""

    def __init__(self, run: SimulatedRun) -> None:
        self._run = run
        self._clock = run.clock

    def send(self, sender: Sidecar, action: api.SendGossip) -> None:
        """Sends a message to one peer, or to all peers if `action.peer` is negative."""
        slots = range(self._run.scenario.sidecars) if action.peer < 0 else (action.peer,)
        data = b"\0" * (HEADER_BYTES + OBSERVATION_BYTES * len(action.observations))
        message = api.GossipReceived(sender.slot, action.queueing_ratio, action.observations)
        for slot in slots:
            receiver = self._run.serving(slot)
            if slot != sender.slot and not receiver.down:
                self._transmit(sender, receiver, data, message)

    def _transmit(self, sender: Sidecar, receiver: Sidecar, data: bytes, message: api.GossipReceived) -> None:
        hop = hop_ns(self._run.scenario, sender.zone == receiver.zone, 1.0, 1.0)
        for copy in self._run.links.send_datagram(self._clock.now, sender.node, receiver.node, data):
            if copy.data == data:  # a receiver drops corrupted copies by their checksum
                self._clock.at(copy.at + hop, self._receive, receiver, receiver.incarnation, message)

    def _receive(self, sidecar: Sidecar, incarnation: int, message: api.GossipReceived) -> None:
        if sidecar.frozen_until > self._clock.now:
            self._clock.at(sidecar.frozen_until, self._receive, sidecar, incarnation, message)
        elif sidecar.incarnation == incarnation:
            self._run.handle(sidecar, message)
