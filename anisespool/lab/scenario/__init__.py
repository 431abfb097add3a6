"""Scenario files (TOML): a fleet, its traffic and its faults. The names of keys include their units.

`load` reads a scenario from a file or the library, and `from_raw` checks one that is already parsed.
`settings` returns the settings that the platform would give to a sidecar of the scenario.
"""

from anisespool.lab.scenario.base import MS, SECOND, ScenarioError, Spec
from anisespool.lab.scenario.faults import (
    KINDS_SIZED_AS_SHARE,
    OF_A_ZONE,
    OF_ALL,
    OF_PROCESSES,
    Fault,
    Kind,
    Link,
)
from anisespool.lab.scenario.fleet import Endpoints, Membership, Network, Reports, Rules
from anisespool.lab.scenario.loading import LIBRARY, decode, encode, from_raw, library, load
from anisespool.lab.scenario.platform_settings import raw_settings, settings
from anisespool.lab.scenario.schema import Scenario, Statement
from anisespool.lab.scenario.traffic import Burst, Class, Clients, Prices, Tenant, Traffic

__all__ = [
    "KINDS_SIZED_AS_SHARE",
    "LIBRARY",
    "MS",
    "OF_ALL",
    "OF_A_ZONE",
    "OF_PROCESSES",
    "SECOND",
    "Burst",
    "Class",
    "Clients",
    "Endpoints",
    "Fault",
    "Kind",
    "Link",
    "Membership",
    "Network",
    "Prices",
    "Reports",
    "Rules",
    "Scenario",
    "ScenarioError",
    "Spec",
    "Statement",
    "Tenant",
    "Traffic",
    "decode",
    "encode",
    "from_raw",
    "library",
    "load",
    "raw_settings",
    "settings",
]
