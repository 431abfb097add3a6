"""The lab with real processes: the same wishes as the model's, rules judged by counts, runs that are void."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from anisespool.cli.main import main
from anisespool.lab import experiments, observe, reality, report
from anisespool.lab.arrivals import plan
from anisespool.lab.experiments import Case
from anisespool.lab.reality import Run
from anisespool.lab.scenario import ScenarioError, from_raw
from anisespool.lab.tally import VoidError, Wish
from anisespool.lab.world import BEGIN, World

BUSY = {
    "seconds": 3, "warm_s": 1, "sidecars": 2, "rules": {"cold_s": 1.0},
    "classes": [{"name": "look", "effect": "repeatable", "work_ms": 10},
                {"name": "send-one", "work_ms": 20, "work": "exponential"}],
    "traffic": {"per_s": 150, "uneven": 0.5}, "clients": {"tries": 2},
    "endpoints": [{"count": 3, "cores": 3}, {"count": 2, "cores": 3, "zone": 1}],
    "troubles": [{"kind": kind, "at_s": at, "for_s": 0.5, "endpoints": [n], "size": size}
                 for kind, at, n, size in (("reset", 0.3, 0, 1), ("kill", 0.5, 1, 1), ("restart", 1.0, 2, 1),
                                           ("slow", 1.2, 3, 3), ("fail", 1.4, 4, 0.5), ("pause", 1.8, 0, 1),
                                           ("drain", 2.0, 4, 1), ("traffic", 1.0, 0, 2))],
}  # fmt: skip


def test_real_processes_keep_the_rules_in_every_trouble_and_meet_the_models_wishes() -> None:
    raw = dict(BUSY, troubles=[*BUSY["troubles"], {"kind": "sidecar", "at_s": 1.5, "part": 1.0}])  # type: ignore[misc]
    made = from_raw(raw, "busy")
    world = World(made, 3)
    model = world.run()
    played = asyncio.run(reality.play(made, 3))
    assert (world.broken, played.broken) == ("", "")
    assert played.tally.asked == model.asked and sum(model.asked.values()) > 400
    assert played.tally.attempts >= sum(played.tally.asked.values()) * 0.8
    assert len(played.looks) > 10 and len(played.borne) == 5
    for cls in (0, 1):  # not how well, which is for the benchmark: that most came through
        assert played.tally.ended[cls, "in_time"] > played.tally.asked[cls] / 2


def test_a_plan_is_what_the_model_asks() -> None:
    made = from_raw(dict(BUSY, bursts=[{"at_s": 1, "count": 20, "over_ms": 50, "every_s": 1}]), "busy")
    met: list[tuple[int, int, int, int]] = []

    class Noting(World):
        def _wished(self, wish: Wish) -> None:
            met.append((wish.came - BEGIN, wish.cls, wish.work_ns, wish.sidecar))
            super()._wished(wish)

    assert Noting(made, 5).run().attempts
    assert met == [(wish.came, wish.cls, wish.work_ns, wish.sidecar) for wish in plan(made, 5)]


COUNTS: dict[str, Any] = {"broken": "", "late_to_drained": 0, "runs": {}, "borne": [], "looks": []}
COUNTS["arrived"] = 9


def run_of(cls: dict[str, Any]) -> Run:
    clients = {"tries": 3, "backoff_ms": 1}
    made = from_raw({"warm_s": 0, "classes": [{"name": "x"} | cls], "clients": clients}, "one")
    return Run(made, [Fake()], time.monotonic_ns())  # type: ignore[list-item]


class Fake:
    """A sidecar that answers as it is told."""

    killed_at = 0
    answers: tuple[tuple[int, float, bool], ...] = ((200, 0.0, True),)

    def __init__(self) -> None:
        self.asked: list[bytes] = []

    async def ask(self, data: bytes, trace: bytes) -> tuple[int, float, bool]:
        self.asked.append(data)
        return self.answers[min(len(self.asked), len(self.answers)) - 1]


@pytest.mark.parametrize(
    ("counts", "refused", "said"),
    [
        ({}, [7], ""),
        ({"runs": {"7": 1}}, [8], ""),
        ({"runs": {"7": 1}}, [7], "rule 2: wish 7 was refused, and had run"),
        ({"late_to_drained": 2}, [], "rule 3: 2 requests"),
        ({"broken": "rule 4: endpoint 1 was pushed over while it was cold"}, [], "rule 4"),
    ],
)
def test_rules_are_judged_by_counts(counts: dict[str, Any], refused: list[int], said: str) -> None:
    run = run_of({})
    run.refused = refused
    run.judge(COUNTS | counts)
    assert run.played.broken.startswith(said) and bool(run.played.broken) == bool(said)


@pytest.mark.parametrize(
    ("effect", "answers", "tries", "outcome", "broken"),
    [
        ("once", [(200, 0.0, True)], 1, "in_time", ""),
        ("once", [(200, 0.0, False)], 1, "in_time", "rule 1: wish 1 was answered with another's body"),
        ("once", [(503, 0.01, False), (200, 0.0, True)], 2, "in_time", ""),
        ("once", [(502, 0.0, False)], 1, "failed", ""),  # it may have run: no other try
        ("repeatable", [(502, 0.0, False), (200, 0.0, True)], 2, "in_time", ""),
        ("once", [(503, 0.0, False)] * 3, 3, "refused", ""),
    ],
)
def test_clients_do_as_the_models(
    effect: str, answers: list[tuple[int, float, bool]], tries: int, outcome: str, broken: str
) -> None:
    run = run_of({"effect": effect})
    run.sidecars[0].answers = tuple(answers)  # type: ignore[attr-defined]
    wish = Wish(1, 0, 0, 5, 0, 1.0, True)
    asyncio.run(run.run([wish]))
    assert (wish.tries, wish.outcome, run.played.broken) == (tries, outcome, broken)
    marks = [b"X-Second-Try" in data for data in run.sidecars[0].asked]  # type: ignore[attr-defined]
    assert marks == [n > 0 for n in range(tries)]


def test_a_run_whose_clients_were_late_is_void() -> None:
    run = run_of({})
    run.played.lateness.record_value(int(reality.LATE_P99_MS * 1000 * 2))
    with pytest.raises(VoidError, match="too busy"):
        run.judge(COUNTS)


@pytest.mark.parametrize(
    ("raw", "said"),
    [
        ({"troubles": [{"kind": "vanish", "at_s": 1}]}, "x: troubles[0].kind: found vanish"),
        ({"sidecars": 300}, "x: sidecars: found 300 with 10 endpoints, wanted at most 16"),
    ],
)
def test_what_real_processes_can_not_show_is_refused(raw: dict[str, Any], said: str) -> None:
    with pytest.raises(ScenarioError) as error:
        reality.refuse(from_raw(raw, "x"), "x")
    assert said in str(error.value)


def test_a_report_is_one_file_without_outside_parts_and_the_same_each_time() -> None:
    made = from_raw(dict(BUSY, asks="Is <this> escaped?"), "busy")
    runs = [experiments.seen(Case(policy, made, policy, 1)) for policy in ("ours", "least-open")]
    page = report.page("busy", runs)
    assert page == report.page("busy", runs)
    assert page.count("<svg") == len(report.DRAWINGS) and "Is &lt;this&gt; escaped?" in page
    assert "src=" not in page and "@import" not in page and 'href="http' not in page
    assert ">kill" in page.replace("> kill", ">kill") and runs[1].name in page
    assert {row["class"] for row in observe.rows(runs[0].tally)} == {"look", "send-one"}


def test_the_words_of_real_and_report(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    fine, vanishing = tmp_path / "fine.toml", tmp_path / "vanishing.toml"
    fine.write_text("seconds = 1.0\nwarm_s = 0.5\n[traffic]\nper_s = 60.0\n")
    vanishing.write_text('[[troubles]]\nkind = "vanish"\nat_s = 1.0\n')
    page = str(tmp_path / "page.html")
    for words, status, text in (
        (["real", str(fine), "--json"], 0, '"late_ms"'),
        (["real", str(vanishing)], 2, "found vanish, which loopback can't show"),
        (["report", str(fine), "--file", page, "--json", "--with", "reality"], 0, '"run": "reality"'),
        (["report", str(fine), "--file", page, "--with", "nobody"], 2, "no policy 'nobody'"),
    ):
        monkeypatch.setattr("sys.argv", ["anisespool", "lab", *words])
        found = main()
        out, err = capsys.readouterr()
        assert (found, text in out + err) == (status, True), (words, out, err)
    assert "reality: send-one" in Path(page).read_text()
