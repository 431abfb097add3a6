"""The platform's configuration and endpoint list as validated, immutable types.

`config/platform_loader.py` reads them from the environment and the configuration file. The watch of the
endpoint list parses each update with the same `NameIndex`.
"""

from anisespool.config.platform.address import Address
from anisespool.config.platform.endpoint_list import (
    NO_ADDRESS,
    EndpointEntry,
    EndpointList,
    parse_endpoint_list,
)
from anisespool.config.platform.errors import ConfigError, PlatformConfigError
from anisespool.config.platform.names import NameIndex
from anisespool.config.platform.platform_config import PeerAddresses, PlatformConfig

__all__ = [
    "NO_ADDRESS",
    "Address",
    "ConfigError",
    "EndpointEntry",
    "EndpointList",
    "NameIndex",
    "PeerAddresses",
    "PlatformConfig",
    "PlatformConfigError",
    "parse_endpoint_list",
]
