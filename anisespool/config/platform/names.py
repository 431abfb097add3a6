"""Converts names to indexes in the platform's settings, with the offset that converts start times."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NameIndex:
    """Index of each name in the platform's settings; the balancer identifies all of them by index.

    A zone, machine type or tenant that the settings lack gets the index past the end, which the balancer
    treats as unknown. The clock offset is here because the parser of endpoint lists needs it with the names.

    Attributes:
        machine_types: Indexes of the machine types, which the settings call SKUs.
        monotonic_epoch_ns: Unix time minus monotonic time in ns, to convert endpoints' start times. Read only
            once: a new difference for each update would change the start time of an endpoint that did
            not restart.
    """

    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    machine_types: dict[str, int]
    monotonic_epoch_ns: int

    @staticmethod
    def index_of(names: dict[str, int], name: bytes) -> int | None:
        """Return the index of a name in UTF-8 or else Latin-1 (RFC 9110, 5.5); None if `names` lacks it."""
        try:
            text = name.decode()
        except UnicodeDecodeError:
            text = name.decode("latin-1")
        return names.get(text)

    def zone_index(self, name: str) -> int:
        """Return the index of a zone that the endpoint list names."""
        return self.zones.get(name, len(self.zones))

    def machine_type_index(self, name: str) -> int:
        """Return the index of a machine type that the endpoint list names."""
        return self.machine_types.get(name, len(self.machine_types))
