"""Measures the cost of request records, the effect of a stalled receiver, and the accuracy of their counts.

A real sidecar with records and one without are run alternately, so that the compared pairs are from one run.
The receiver, a separate process, is paused and resumed. The modules `latency`, `cpu`, `stall`, `soak`,
`escaping` and `trace` state their objectives. A run takes about five minutes.
"""

from __future__ import annotations

from benchmarks.records.cpu import measure_cpu
from benchmarks.records.escaping import measure_escaping
from benchmarks.records.latency import measure_latency
from benchmarks.records.soak import measure_soak
from benchmarks.records.stall import measure_stall
from benchmarks.records.trace import measure_trace
from benchmarks.report import Report
from benchmarks.runner import Benchmark


def _measure(report: Report) -> None:
    measure_latency(report)
    measure_cpu(report)
    measure_stall(report)
    measure_soak(report)
    measure_escaping(report)
    measure_trace(report)


BENCHMARK = Benchmark("Records", ("part",), _measure)
