"""The base of the agent's exceptions.

Those of one subject are in its own module: of the store in `store.errors`, of an instance's answers in
`control_protocol` and `control_client`, of a rollout in `rollout.errors`, of a gRPC call in `call_errors`.
"""

from __future__ import annotations


class AgentError(Exception):
    """Base of all errors of the agent."""
