"""Parses and validates the operator's TOML files and JSON documents. An error message is one line."""

from __future__ import annotations

import tomllib
from typing import TypeVar

import msgspec

from anisespool.config.operator.errors import (
    OperatorConfigError,
    OperatorSyntaxError,
    abbreviated,
    from_validation_error,
)
from anisespool.config.operator.schema import LIVE_SECTIONS, LiveConfig, OperatorConfig
from anisespool.config.operator.tables import Tables
from anisespool.config.operator.validation import validate_operator_config, validate_sections_except_agent

# Maximum size of a file or document, equal to the largest request of the control socket.
MAX_DOCUMENT_BYTES = 64 * 1024
# Maximum length of the list of keys in an error message.
MAX_LISTED_CHARACTERS = 200
SchemaT = TypeVar("SchemaT", bound=msgspec.Struct)


def read_operator_config(path: str) -> OperatorConfig:
    """Read and validate a whole file.

    Raises:
        OperatorSyntaxError: The file can't be read or is not valid TOML.
        OperatorConfigError: A key is unknown, missing or invalid, or the file is longer than
            MAX_DOCUMENT_BYTES.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise OperatorSyntaxError(path, error.strerror or error) from None
    return parse_operator_config(parse_toml(data, path), path)


def parse_toml(data: bytes, source: str) -> Tables:
    """Parse TOML into tables that are not validated yet.

    Args:
        source: Path or name of the file, for errors.

    Raises:
        OperatorConfigError: The content is longer than MAX_DOCUMENT_BYTES.
        OperatorSyntaxError: The content is not valid TOML; the message names the line.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise OperatorConfigError(source, None, f"over {MAX_DOCUMENT_BYTES} bytes", "at most that")
    try:
        return tomllib.loads(data.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorSyntaxError(source, error) from None


def parse_operator_config(tables: Tables, source: str) -> OperatorConfig:
    """Convert and validate the tables of a file.

    Args:
        source: Path or name of the file, for errors.

    Raises:
        OperatorConfigError: A key is unknown, missing or invalid.
    """
    config = _convert(tables, OperatorConfig, source)
    validate_operator_config(config, source)
    return config


def parse_live_config(tables: object, source: str) -> LiveConfig:
    """Convert and validate a live change.

    Args:
        tables: The parsed document; any other value than tables is an error.
        source: Path or name of the document, for errors.

    Raises:
        OperatorConfigError: A key is unknown or invalid, or a section can change only by a restart.
    """
    if not isinstance(tables, dict):
        raise OperatorConfigError(source, None, abbreviated(tables), f"tables {', '.join(LIVE_SECTIONS)}")
    needing_restart = sorted(key for key in tables if key not in LIVE_SECTIONS)
    if needing_restart:
        names = ", ".join(str(key) for key in needing_restart)[:MAX_LISTED_CHARACTERS]
        raise OperatorConfigError(source, names, "in a live change", f"only {', '.join(LIVE_SECTIONS)}")
    live = _convert(tables, LiveConfig, source)
    validate_sections_except_agent(OperatorConfig().with_live_config(live), source)
    return live


def _convert(tables: Tables, schema: type[SchemaT], source: str) -> SchemaT:
    try:
        return msgspec.convert(tables, schema)
    except msgspec.ValidationError as error:
        raise from_validation_error(error, tables, source) from None
