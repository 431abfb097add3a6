"""Fleet membership: detects which sidecars are alive, with the SWIM protocol over UDP.

The package is loaded only if the operator's file has a [peers] section. `protocol.py` is the protocol's entry
point, and `service.py` runs it in a sidecar. docs/membership.md explains the design.
"""
