"""Findings of the search, scenarios that break a rule or lose service, and the files that store them."""

from __future__ import annotations

import json
from pathlib import Path
from typing import NamedTuple

from anisespool.lab import scenario as scenarios
from anisespool.lab.scenario import Scenario


class Finding(NamedTuple):
    """A scenario in which a run broke a rule, or lost service compared with the reference policy.

    Attributes:
        scenario: The scenario.
        seed: Seed of the run.
        policy: Name of the policy or mutation that was run.
        description: The broken rule or `loss`, a colon, and the details.
    """

    scenario: Scenario
    seed: int
    policy: str
    description: str

    @property
    def rule(self) -> str:
        """The broken rule, or `loss`."""
        return rule_of(self.description)

    def save(self, path: Path) -> None:
        """Write the finding to a JSON file, which `load_finding` reads."""
        scenario = json.loads(scenarios.encode(self.scenario))
        content = {"what": self.description, "policy": self.policy, "seed": self.seed, "scenario": scenario}
        path.write_text(json.dumps(content, indent=1) + "\n")


def rule_of(text: str) -> str:
    """Return the rule with which the text of a violation begins."""
    return text.partition(":")[0]


def load_finding(path: Path) -> Finding:
    """Read a file that `Finding.save` wrote.

    Raises:
        ScenarioError: The scenario is invalid.
        KeyError: A key is missing.
    """
    content = json.loads(path.read_text())
    scenario = scenarios.from_raw(content["scenario"], str(path))
    return Finding(scenario, int(content["seed"]), str(content["policy"]), str(content["what"]))
