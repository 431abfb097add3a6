"""Tests of what benchmarks share: pairs and their spread, objectives, reports, the runner, checkouts."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from benchmarks import checkout
from benchmarks.pairs import Pair, Spread, differences, in_turn, measure_pairs, pair_up, ratios
from benchmarks.report import Report
from benchmarks.runner import NAMES, Benchmark, load, main, run


def sample_measurement(*, met: bool) -> Callable[[Report], None]:
    def measure(report: Report) -> None:
        report.add_row("served", 69.04, 63)
        report.add_note("quiet machine")
        report.add_table("Further", ("members",), (50,))
        report.check_objective(met, "1.10 times the cost before")

    return measure


def benchmark(*, met: bool) -> Benchmark:
    return Benchmark("CPU", ("case", "now", "before"), sample_measurement(met=met))


def test_spread_of_repeated_values() -> None:
    spread = Spread.of([4.0, 1.0, 3.0, 2.0, 5.0])
    assert (spread.minimum, spread.median, spread.maximum) == (1.0, 3.0, 5.0)
    assert (spread.lower, spread.upper) == (1.5, 4.5)
    assert str(spread) == "median 3.000, quartiles 1.500 to 4.500"


def test_spread_of_one_value_is_that_value() -> None:
    assert Spread.of([2.5]) == Spread(2.5, 2.5, 2.5, 2.5, 2.5)


def test_quartiles_of_two_values_lie_between_them() -> None:
    assert Spread.of([2.0, 1.0]) == Spread(1.0, 1.0, 1.5, 2.0, 2.0)


def test_spread_of_no_values_is_an_error() -> None:
    with pytest.raises(ValueError, match="at least one"):
        Spread.of([])


def test_ratios_and_differences_are_computed_for_each_pair() -> None:
    pairs = pair_up([2.0, 30.0, 4.0], [1.0, 10.0, 4.0])
    assert [pair.ratio for pair in pairs] == [2.0, 3.0, 1.0]
    assert ratios(pairs).median == 2.0
    assert differences(pairs).median == 1.0


def test_pairing_different_numbers_of_figures_is_an_error() -> None:
    with pytest.raises(ValueError, match="shorter"):
        pair_up([1.0, 2.0], [1.0])


def test_in_turn_reverses_every_other_round() -> None:
    assert list(in_turn(("a", "b", "c"), 3)) == ["a", "b", "c", "c", "b", "a", "a", "b", "c"]


def test_every_other_pair_measures_the_reference_first() -> None:
    calls: list[str] = []

    def measured() -> float:
        calls.append("measured")
        return 2.0

    def reference() -> float:
        calls.append("reference")
        return 1.0

    assert list(measure_pairs(measured, reference, 3)) == [Pair(2.0, 1.0)] * 3
    assert calls == ["measured", "reference", "reference", "measured", "measured", "reference"]


@pytest.mark.parametrize(("met", "status"), [(True, 0), (False, 1)])
def test_a_missed_objective_gives_exit_status_1(met: bool, status: int) -> None:
    assert run(benchmark(met=met), io.StringIO()) == status


def test_printed_report() -> None:
    out = io.StringIO()
    run(benchmark(met=False), out)
    assert out.getvalue().splitlines() == [
        "CPU",
        "  case   now  before",
        "served  69.0      63",
        "Further",
        "members",
        "     50",
        "quiet machine",
        "MISSED: 1.10 times the cost before",
    ]


def test_printed_report_when_all_objectives_are_met() -> None:
    out = io.StringIO()
    run(benchmark(met=True), out)
    assert out.getvalue().splitlines()[-1] == "all objectives met"


def test_json_report_is_the_last_line() -> None:
    out = io.StringIO()
    run(benchmark(met=False), out, as_json=True)
    assert json.loads(out.getvalue().splitlines()[-1]) == {
        "title": "CPU",
        "rows": [{"case": "served", "now": 69.04, "before": 63}],
        "notes": ["quiet machine"],
        "missed": ["1.10 times the cost before"],
        "parts": [{"title": "Further", "rows": [{"members": 50}], "notes": [], "missed": [], "parts": []}],
    }


@pytest.mark.parametrize("name", NAMES)
def test_each_name_loads_a_benchmark(name: str) -> None:
    declared = load(name)
    assert declared.title
    assert declared.columns


def test_an_unknown_name_is_a_usage_error(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as error:
        main(["unknown"])
    assert error.value.code == 2
    assert "invalid choice: 'unknown'" in capsys.readouterr().err


def test_loading_a_benchmark_does_not_import_the_others() -> None:
    code = (
        "import sys; from benchmarks.runner import NAMES, load; load('decision');"
        "print(*[name for name in NAMES if f'benchmarks.{name}' in sys.modules])"
    )
    finished = subprocess.run(
        [sys.executable, "-c", code], cwd=checkout.ROOT, capture_output=True, text=True, check=True
    )
    assert finished.stdout.split() == ["decision"]


def test_a_function_of_another_checkout_is_called_with_that_checkouts_packages(tmp_path: Path) -> None:
    package = tmp_path / "benchmarks"
    package.mkdir()
    (package / "__init__.py").touch()
    (package / "size.py").write_text("def of(name, factor): return len(name), factor * 2\n")
    assert checkout.call(tmp_path, "size.of", "abc", 1.5) == [3.0, 3.0]


def test_builds_without_an_older_checkout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(checkout.OLDER_CHECKOUT_VARIABLE, raising=False)
    assert checkout.builds() == [checkout.Build("now", None)]


def test_builds_with_an_older_checkout(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setenv("BURST_BEFORE", str(tmp_path))
    assert [build.name for build in checkout.builds()] == ["before", "now"]
    assert [build.is_current for build in checkout.builds()] == [False, True]
