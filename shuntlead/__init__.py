"""Decisions of a sidecar load balancer for service-to-service calls."""

from shuntlead.interface import Settings, SettingsError
from shuntlead.logic import Balancer

__all__ = ["Balancer", "Settings", "SettingsError"]
__version__ = "0.1.0"
