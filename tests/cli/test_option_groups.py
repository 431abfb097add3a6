"""Option groups: dataclasses whose fields become options of a command."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

import pytest
import typer
from typer.testing import CliRunner

from anisespool.cli.option_groups import expand_option_groups

Size = Annotated[int, typer.Option("--size", min=1)]
Labels = Annotated[list[str], typer.Option("--label")]


@dataclass(frozen=True, slots=True)
class Shape:
    size: Size = 3
    labels: Labels = field(default_factory=list)


received: list[tuple[str, Shape, bool]] = []


@expand_option_groups
def draw(name: str, *, shape: Shape, quiet: bool = False) -> None:
    """Draw a shape."""
    received.append((name, shape, quiet))


@pytest.fixture
def app() -> typer.Typer:
    received.clear()
    app = typer.Typer(rich_markup_mode=None)
    app.command()(draw)
    return app


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["a"], ("a", Shape(3, []), False)),
        (["a", "--size", "5", "--quiet"], ("a", Shape(5, []), True)),
        (["--label", "x", "a", "--label", "y"], ("a", Shape(3, ["x", "y"]), False)),
    ],
)
def test_a_command_receives_its_option_group_as_one_value(
    app: typer.Typer, arguments: list[str], expected: tuple[str, Shape, bool]
) -> None:
    assert CliRunner().invoke(app, arguments).exit_code == 0
    assert received == [expected]


def test_limits_of_options_in_a_group_are_checked(app: typer.Typer) -> None:
    assert CliRunner().invoke(app, ["a", "--size", "0"]).exit_code == 2
    assert received == []


def test_help_lists_the_options_of_a_group_in_place_of_its_parameter(app: typer.Typer) -> None:
    text = CliRunner().invoke(app, ["--help"]).output
    assert "Draw a shape." in text
    assert text.index("--size") < text.index("--label") < text.index("--quiet")
    assert "--shape" not in text


def test_list_options_are_not_shared_between_invocations(app: typer.Typer) -> None:
    CliRunner().invoke(app, ["a", "--label", "x"])
    CliRunner().invoke(app, ["a"])
    assert [shape.labels for _, shape, _ in received] == [["x"], []]
