"""Base class of the agent's exceptions.

The subclasses are grouped by subject: the store in `store.errors`, responses of an instance in
`control_protocol` and `control_client`, rollouts in `rollout.errors`, gRPC calls in `call_errors`.
"""

from __future__ import annotations


class AgentError(Exception):
    """Base class of all errors of the agent."""
