"""KNOWN-RED.txt names existing tests, and only these are passed over."""

from __future__ import annotations

import re

import pytest

from tests.harness.known_red import PATH, KnownRedError, parse

ENTRY = "test: tests/a.py::test_x (once)\ncommand: pytest\nseed: 3\nseen: this\n      and that\nissue: 52\n"


def test_an_entry_names_all_parameter_sets_of_its_test_and_no_other_test() -> None:
    (entry,) = parse("\n" + ENTRY)
    assert entry.fields["seen"] == "this and that"
    node_ids = ["tests/a.py::test_x", "tests/a.py::test_x[1]", "tests/a.py::test_x2", "tests/b.py::test_x"]
    assert [entry.matches(node_id) for node_id in node_ids] == [True, True, False, False]


def test_an_entry_with_parameters_names_only_these() -> None:
    (entry,) = parse(ENTRY.replace("test_x", "test_x[1]"))
    assert entry.matches("tests/a.py::test_x[1]")
    assert not entry.matches("tests/a.py::test_x[2]")


def test_an_entry_without_a_key_is_rejected() -> None:
    with pytest.raises(KnownRedError, match="lacks seed, issue"):
        parse(re.sub("(seed|issue): .*\n", "", ENTRY))


def test_each_entry_of_the_file_names_an_existing_test() -> None:
    """A misspelt entry would pass over nothing, and one of a removed test would stay for ever."""
    for entry in parse(PATH.read_text()):
        path, separator, name = entry.test_id.partition("::")
        if separator:
            function = name.partition("[")[0]
            assert re.search(rf"def {re.escape(function)}\(", (PATH.parent / path).read_text()), entry.test_id
