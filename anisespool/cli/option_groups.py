"""Option groups: related options, declared together as a dataclass and passed to a command as one value.

Typer makes an option of each parameter of a command's function. A function decorated with
`expand_option_groups` may also have parameters whose type is a dataclass. Typer then sees the fields of the
dataclass instead of the parameter, and the function receives an instance of the dataclass.
"""

from __future__ import annotations

import dataclasses
import functools
import inspect
from collections.abc import Callable, Iterator
from typing import Any, get_type_hints


def expand_option_groups(command: Callable[..., None]) -> Callable[..., None]:
    """Return a function that takes the fields of the command's option groups as separate parameters."""
    parameters = inspect.signature(command, eval_str=True).parameters
    groups: dict[str, type[Any]] = {
        name: parameter.annotation
        for name, parameter in parameters.items()
        if _is_group(parameter.annotation)
    }

    @functools.wraps(command)
    def expanded(**arguments: Any) -> None:
        for name, group in groups.items():
            values = {field.name: arguments.pop(field.name) for field in dataclasses.fields(group)}
            arguments[name] = group(**values)
        command(**arguments)

    expanded_parameters: list[inspect.Parameter] = []
    for name, parameter in parameters.items():
        if name in groups:
            expanded_parameters += _field_parameters(groups[name])
        else:
            expanded_parameters.append(parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY))
    expanded.__signature__ = inspect.Signature(expanded_parameters)  # type: ignore[attr-defined]
    return expanded


def _is_group(annotation: Any) -> bool:
    return dataclasses.is_dataclass(annotation)


def _field_parameters(group: type[Any]) -> Iterator[inspect.Parameter]:
    """Yield a parameter with the same default for each field of the group, in order."""
    annotations = get_type_hints(group, include_extras=True)
    for field in dataclasses.fields(group):
        default: Any = inspect.Parameter.empty
        if field.default is not dataclasses.MISSING:
            default = field.default
        elif field.default_factory is not dataclasses.MISSING:
            default = field.default_factory()
        yield inspect.Parameter(
            field.name, inspect.Parameter.KEYWORD_ONLY, default=default, annotation=annotations[field.name]
        )
