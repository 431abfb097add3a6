"""Indexes of the names in the platform's settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NameIndex:
    """Indexes of the names in the platform's settings, which the balancer uses by number only.

    A zone, machine type or tenant that is not in the settings gets the index past the end, which the
    balancer treats as unknown.

    Attributes:
        classes: Request classes.
        tenants: Tenants.
        zones: Zones.
        machine_types: Machine types (the settings' SKUs).
        monotonic_epoch_ns: Unix time less monotonic time, ns. Read once: otherwise one start time of an
            endpoint would become many.
    """

    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    machine_types: dict[str, int]
    monotonic_epoch_ns: int

    @staticmethod
    def index_of(names: dict[str, int], name: bytes) -> int | None:
        """Return the index of a name as received: UTF-8, or else Latin-1 (RFC 9110, 5.5). None: unknown."""
        try:
            text = name.decode()
        except UnicodeDecodeError:
            text = name.decode("latin-1")
        return names.get(text)

    def zone_index(self, name: str) -> int:
        """Return the index of a zone of the endpoint list."""
        return self.zones.get(name, len(self.zones))

    def machine_type_index(self, name: str) -> int:
        """Return the index of a machine type of the endpoint list."""
        return self.machine_types.get(name, len(self.machine_types))
