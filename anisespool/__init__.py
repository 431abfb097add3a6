"""A sidecar load balancer for service-to-service calls over HTTP/1.1, and tools to run a fleet of them."""

__version__ = "0.2.0"
