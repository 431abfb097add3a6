"""Records encoded as messages."""

from __future__ import annotations

from random import Random

from anisespool.config.operator import RecordOptions
from anisespool.fakes.record_soak import create_recorder, random_request


def test_a_request_encoded_as_one_string_equals_its_encoding_from_elements() -> None:
    random = Random(7)
    encoder = create_recorder(1, RecordOptions(destination="udp://127.0.0.1:1")).encoder
    for number in range(1, 300):
        request = random_request(random, number, random.choice((b"sol", b'a]"\\\n', b"x" * 400)))
        request = request._replace(
            request_class=random.choice((-1, 0, 1)),
            is_retry=number % 3 == 0,
            retry_after_s=0.25 * (number % 2),
        )
        unix_ns = number * 10**9
        encoded = encoder.encode_request(number, request, unix_ns)
        assert encoded == encoder.encode_request_elements(number, request, unix_ns)
