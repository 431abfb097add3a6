"""Writes logs of two sidecars for `anisespool trace` to read, and returns the requests in them."""

from __future__ import annotations

import gzip
from pathlib import Path
from random import Random

from anisespool.config.operator import RecordOptions
from anisespool.fakes.record_soak import create_recorder, random_request
from anisespool.records.encoder import RecordEncoder
from anisespool.records.request_record import RequestRecord

START_NS = 1_785_286_800_000_000_000  # 2026-07-29
MS = 1_000_000
OTHER_LINES = [
    b"Jul 28 20:00:00 lima kernel: eth0 up\n",
    b"<134>1 - a b c path -\n",
    b"\xff\xfe\n",
    b"\n",
    b'<134>1 2026-07-28T20:00:00Z a b c path [req@1 trace="x\n',
    b"z" * 300_000 + b"\n",
]


def record_encoder(boot: int = 1) -> RecordEncoder:
    return create_recorder(boot, RecordOptions(destination="udp://127.0.0.1:514")).encoder


def write_logs(folder: Path, seed: int, count: int = 400) -> tuple[list[str], list[RequestRecord]]:
    """Write logs of two sidecars with other programs' lines: one plain with octet counts, one compressed.

    Returns:
        The names of the files, and the requests in them.
    """
    print(f"seed {seed}")
    random = Random(seed)
    requests: list[RequestRecord] = []
    encoders = [record_encoder(boot) for boot in (1, 2)]
    lines_by_sidecar: tuple[list[bytes], list[bytes]] = ([], [])
    for number in range(1, count + 1):
        request = random_request(random, number, f'm]"\\ñ[red]\x1b[2J[/] {number % 7}'.encode())
        request = request._replace(finished_ns=request.arrived_ns + random.randrange(1, 900) * MS)
        requests.append(request)
        sidecar = random.randrange(2)
        record = encoders[sidecar].encode_request(number, request, START_NS + request.finished_ns)
        lines = lines_by_sidecar[sidecar]
        lines.append(b"%d %b\n" % (len(record), record) if sidecar else record + b"\n")
        if random.random() < 0.05:
            lines.append(random.choice(OTHER_LINES))
    without_counts, with_counts = lines_by_sidecar
    plain = folder / "a.log"
    plain.write_bytes(b"".join(with_counts))
    compressed = folder / "b.log.gz"
    compressed.write_bytes(gzip.compress(b"".join(without_counts)))
    return [str(plain), str(compressed)], requests
