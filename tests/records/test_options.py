"""Invalid sections `records` of the operator's file."""

from __future__ import annotations

from typing import Any

import pytest

from anisespool.config import operator
from anisespool.config.platform import ConfigError


@pytest.mark.parametrize(
    ("section", "message"),
    [
        ({"to": "tcp://logs.lima:514"}, "records.to: found 'tcp://logs.lima:514', wanted udp://"),
        ({"to": "unix://relative"}, "records.to"),
        ({"to": "tls://127.0.0.1:6514"}, "records.ca: found nothing"),
        ({"to": "tls://127.0.0.1:6514", "ca": "x", "framing": "newline"}, "records.framing"),
        ({"to": "udp://127.0.0.1:514", "key": "x"}, "records.key"),
        ({"to": "udp://127.0.0.1:514", "enterprise": "acme"}, "records.enterprise"),
        ({"to": "udp://127.0.0.1:514", "longest": 100}, "records.longest"),
        ({}, "records.to: found nothing"),
    ],
)
def test_the_error_for_an_invalid_section_is_one_line_with_the_key(
    section: dict[str, Any], message: str
) -> None:
    with pytest.raises(ConfigError) as error:
        operator.parse_operator_config({"records": section}, "file")
    assert message in str(error.value)
    assert "\n" not in str(error.value)
