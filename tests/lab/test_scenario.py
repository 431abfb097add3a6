"""Scenario files: errors, included files, and the library."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from anisespool.lab import experiments, scenario
from anisespool.lab.model.world import World
from anisespool.lab.scenario import ScenarioError, from_raw


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ({"second": 3}, "unknown field `second`"),
        ({"troubles": [{"kind": "meteor", "at_s": 1}]}, "troubles[0].kind"),
        ({"troubles": [{"kind": "slow", "at_s": 1, "endpoints": [10]}]}, "found 10, wanted 0 to 9"),
        ({"troubles": [{"kind": "fail", "at_s": 1, "size": 2}]}, "wanted a share"),
        ({"classes": [{"name": "x", "target_ms": 2000}]}, "wanted at most the deadline"),
        ({"bursts": [{"at_s": 1, "count": 1, "cls": 4}]}, "wanted below 1"),
        ({"endpoints": [{"cores": 0}]}, "endpoints[0].cores"),
        ({"traffic": {"per_s": "many"}}, "traffic.per_s"),
    ],
)
def test_a_wrong_scenario_is_an_error_with_file_and_key(raw: dict[str, Any], message: str) -> None:
    with pytest.raises(ScenarioError) as error:
        from_raw(raw, "file.toml")
    assert message in str(error.value)
    assert str(error.value).startswith("file.toml: ")


def test_included_files_are_merged_under_the_including_one(tmp_path: Path) -> None:
    burst = "[[bursts]]\nat_s = 1\ncount = 2\n"
    (tmp_path / "under.toml").write_text("[traffic]\nper_s = 7\nuneven = 0.5\n" + burst)
    (tmp_path / "over.toml").write_text('include = ["under"]\n[traffic]\nper_s = 9\n' + burst)
    merged = scenario.load(tmp_path / "over.toml")
    assert (merged.traffic.per_s, merged.traffic.uneven, len(merged.bursts)) == (9, 0.5, 2)


@pytest.mark.parametrize(("name", "message"), [("ring.toml", "include"), ("none.toml", "No such file")])
def test_circular_includes_and_missing_files_are_errors(tmp_path: Path, name: str, message: str) -> None:
    (tmp_path / "ring.toml").write_text('include = ["ring"]')
    with pytest.raises(ScenarioError, match=message):
        scenario.load(tmp_path / name)


@pytest.mark.parametrize("name", scenario.library())
def test_each_library_scenario_has_a_question_and_runs(name: str) -> None:
    made = scenario.load(name)
    assert made.question.endswith("?")
    _, short = experiments.with_overrides(made, ["seconds=1.5", "warm_s=0.5", "statements=[]"], name)
    if short.endpoint_count * short.sidecars <= 2000:
        world = World(short, 1)
        world.run()
        assert not world.broken
