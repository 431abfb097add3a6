"""The decision module of a sidecar load balancer: admission, endpoint selection, retries.

Throughout the package, `now` is the current time in monotonic ns.
"""

from anisespool.balancer.balancer import Balancer
from anisespool.balancer.interface import Settings, SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
__version__ = "0.1.0"
