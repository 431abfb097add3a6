"""What did a search find? A scenario that breaks a rule or loses service, and its file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import NamedTuple

from anisespool.lab import scenario as scenarios
from anisespool.lab.scenario import Scenario


class Finding(NamedTuple):
    """A scenario that broke a rule, or lost service against what was possible.

    Attributes:
        scenario: the scenario.
        seed: of the run.
        policy: the policy or mutation that was run, by name.
        description: the rule that was broken, a colon and how; or the loss of service.
    """

    scenario: Scenario
    seed: int
    policy: str
    description: str

    @property
    def rule(self) -> str:
        """The rule that was broken, without how."""
        return rule_of(self.description)

    def save(self, path: Path) -> None:
        """Write the finding to a JSON file, from which `load_finding` reads it."""
        scenario = json.loads(scenarios.encode(self.scenario))
        content = {"what": self.description, "policy": self.policy, "seed": self.seed, "scenario": scenario}
        path.write_text(json.dumps(content, indent=1) + "\n")


def rule_of(text: str) -> str:
    """Return the rule that a violation's text names."""
    return text.partition(":")[0]


def load_finding(path: Path) -> Finding:
    """Read a file that `Finding.save` wrote.

    Raises:
        ScenarioError: its scenario is invalid.
        KeyError: it lacks a key.
    """
    content = json.loads(path.read_text())
    scenario = scenarios.from_raw(content["scenario"], str(path))
    return Finding(scenario, int(content["seed"]), str(content["policy"]), str(content["what"]))
