"""Which sidecars of the fleet are alive: SWIM's protocol, its codec, its UDP transport and the service.

Loaded only where the operator's file has a [peers] section. `protocol.py` is where the protocol begins, and
`service.py` shows how a sidecar runs it. docs/membership.md explains the design.
"""
