"""`anisespool trace`: text and JSON output, exit statuses, and the escaping of text from records."""

from __future__ import annotations

import gzip
import io
import json
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from anisespool.cli.main import main
from anisespool.records.request_record import RequestRecord
from tests.records.logs import write_logs


class TraceCommand:
    """Runs `anisespool trace` in this process."""

    def __init__(self, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> None:
        self._capsys = capsys
        self._monkeypatch = monkeypatch

    def __call__(self, *arguments: str) -> tuple[int, str, str]:
        """Run the command; return its exit status, standard output and standard error."""
        self._capsys.readouterr()  # discards what the test itself printed
        self._monkeypatch.setattr(sys, "argv", ["anisespool", "trace", *arguments])
        status = main()
        captured = self._capsys.readouterr()
        return status, captured.out, captured.err


@pytest.fixture
def trace_command(capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> TraceCommand:
    return TraceCommand(capsys, monkeypatch)


QUERIES = {
    "the slowest": ["--worst", "60"],
    "by tenant": ["--by", "member"],
    "by outcome": ["--by", "outcome"],
    "one request": ["--id", "t7"],
    "what is missing": ["--dropped"],
}


@pytest.mark.parametrize("query", QUERIES.values(), ids=QUERIES)
def test_text_has_no_control_characters(
    tmp_path: Path, trace_command: TraceCommand, monkeypatch: pytest.MonkeyPatch, query: list[str]
) -> None:
    monkeypatch.setenv("COLUMNS", "300")  # no cell is truncated
    names, _ = write_logs(tmp_path, 5, 60)
    status, text, _ = trace_command(*names, *query)
    assert status == 0
    assert text
    assert "\x1b" not in text


def test_group_names_are_printed_with_only_control_characters_escaped(
    tmp_path: Path, trace_command: TraceCommand, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "300")
    names, _ = write_logs(tmp_path, 5, 60)
    _, text, _ = trace_command(*names, "--by", "member")
    assert 'm]"\\ñ[red]\\x1b[2J[/] 3' in text


@pytest.mark.parametrize(
    ("query", "expected_rows"),
    [
        (["--worst", "60"], lambda requests: len(requests)),
        (["--worst", "3"], lambda requests: 3),
        (["--by", "member"], lambda requests: len({request.tenant for request in requests})),
        (["--by", "outcome"], lambda requests: len({request.outcome for request in requests})),
        (["--id", "t7"], lambda requests: 1),
        (["--dropped"], lambda requests: 0),
    ],
)
def test_json_output_has_an_object_for_each_row(
    tmp_path: Path,
    trace_command: TraceCommand,
    query: list[str],
    expected_rows: Callable[[list[RequestRecord]], int],
) -> None:
    names, requests = write_logs(tmp_path, 5, 60)
    status, text, _ = trace_command(*names, *query, "--json")
    objects = [json.loads(line) for line in text.splitlines()]
    assert status == 0
    assert len(objects) == expected_rows(requests)


def test_standard_input_is_read_if_no_files_are_given(
    tmp_path: Path, trace_command: TraceCommand, monkeypatch: pytest.MonkeyPatch
) -> None:
    names, _ = write_logs(tmp_path, 5, 60)
    with open(names[0], "rb") as file:
        monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(file))
        assert trace_command("--by", "node", "--json")[0] == 0


@pytest.mark.parametrize(
    ("arguments", "expected_status", "message"),
    [
        (["--id", "nobody", "a.log"], 1, "no record has the trace id nobody"),
        (["none.log"], 2, "none.log: No such file"),
        (["--by", "hour", "a.log"], 2, "wanted one of member"),
        (["--from", "noon", "a.log"], 2, "--from: found 'noon'"),
        (["--id", "t1"], 2, "wanted files"),
    ],
)
def test_an_error_is_reported_on_one_line(
    tmp_path: Path,
    trace_command: TraceCommand,
    monkeypatch: pytest.MonkeyPatch,
    arguments: list[str],
    expected_status: int,
    message: str,
) -> None:
    monkeypatch.chdir(tmp_path)
    write_logs(tmp_path, 5, 60)
    status, _, error = trace_command(*arguments)
    assert status == expected_status
    assert message in error
    assert error.count("\n") == 1


def test_a_truncated_gzip_file_is_reported_as_an_invalid_argument(
    tmp_path: Path, trace_command: TraceCommand
) -> None:
    truncated = tmp_path / "truncated.gz"
    truncated.write_bytes(gzip.compress(b"x" * 100_000)[:60])
    assert trace_command(str(truncated))[0] == 2
