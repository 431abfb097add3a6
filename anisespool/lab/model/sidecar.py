"""One simulated sidecar: its decision module, and the state of its process in the model."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from anisespool.balancer.interface import Settings
from anisespool.lab.model.checker import Checker
from anisespool.lab.model.link_selector import Node


@dataclass(slots=True, eq=False)
class Sidecar:
    """A sidecar's process, with an instance of the decision module.

    Attributes:
        number: Index in `World.sidecars`.
        settings: Platform settings that its module starts with.
        slot: Index of the application that it serves. After a rolling restart a new process serves it.
        module: The decision module, or a policy with the same `handle` method.
        idle_connections: Open connections without a request, by endpoint.
        known_starts: Last start time of each endpoint of which the sidecar was notified, ns.
        incarnation: Counts starts and stops of the process. Events for an earlier value are dropped.
        frozen_until: Time before which the process handles no event, ns.
        down: Whether the process and its application are stopped.
        disconnected: Requests whose clients disconnected while the process was frozen.
        node: The sidecar as a node, in the form that selectors of links match.
    """

    number: int
    zone: int
    settings: Settings
    slot: int
    module: Any = None
    checker: Checker = field(init=False)
    idle_connections: dict[int, int] = field(default_factory=dict)
    known_starts: dict[int, int] = field(default_factory=dict)
    incarnation: int = 0
    frozen_until: int = 0
    down: bool = False
    disconnected: list[int] = field(default_factory=list)
    node: Node = field(init=False)

    def __post_init__(self) -> None:
        self.checker = Checker(self.settings, drops_finished=True)
        self.node = Node("sidecar", self.slot, self.zone)

    def restart(self, module: Any) -> None:
        """Starts a new process with `module`, without connections."""
        self.checker = Checker(self.settings, drops_finished=True)
        self.module = module
        self.idle_connections = {}
        self.incarnation += 1

    def add_idle_connection(self, endpoint: int) -> None:
        """Keeps an open connection to an endpoint for a later request."""
        self.idle_connections[endpoint] = self.idle_connections.get(endpoint, 0) + 1

    def take_idle_connection(self, endpoint: int) -> bool:
        """Takes an idle connection to an endpoint; returns False if there is none."""
        idle = self.idle_connections.get(endpoint, 0)
        if not idle:
            return False
        self.idle_connections[endpoint] = idle - 1
        return True
