"""Which reports about the records themselves are due: gaps, records left unconfirmed, and counts.

A report that was sent on a connection which was then lost may not have arrived, so it is sent again, marked
as repeated: received twice it does no harm. Times are monotonic seconds, and are passed in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anisespool.records.accounting import RecordCounts, UnconfirmedRange
from anisespool.records.buffer import Gap, RecordQueue
from anisespool.records.encoder import RecordEncoder

GAP_REPORT_INTERVAL_S = 1.0  # while records are dropped all the time
COUNTS_REPORT_INTERVAL_S = 60.0
NEVER_S = -1000.0  # of what has not happened yet: longer ago than any interval
MAX_REPEATED_REPORTS = 64  # of one connection, after it was lost

Report = Gap | UnconfirmedRange


@dataclass(slots=True, eq=False)
class StatusRecord:
    """A message about the records themselves."""

    message: bytes
    report: Report | None = None
    """What it reports, to be repeated if it is lost; None: the counts, which the next report has again."""


class StatusReports:
    """The reports of one sender.

    Attributes:
        final_counts_sent: Whether the counts were reported as the last ones of this process.
    """

    def __init__(
        self,
        queue: RecordQueue,
        counts: RecordCounts,
        encoder: RecordEncoder,
        clock: Callable[[], int],
        now_s: float,
    ) -> None:
        """Create reports of which none is due.

        Args:
            queue: Whose gaps are reported.
            counts: Reported once in COUNTS_REPORT_INTERVAL_S.
            encoder: Encodes the reports.
            clock: Returns the wall clock's time in Unix ns.
            now_s: The time.
        """
        self.final_counts_sent = False
        self._queue = queue
        self._counts = counts
        self._encoder = encoder
        self._clock = clock
        self._sent: deque[Report] = deque(maxlen=MAX_REPEATED_REPORTS)  # on this connection
        self._pending: list[Report] = []  # some of them sent before, on a connection that was lost
        self._gap_reported_s = NEVER_S
        self._counts_reported_s = now_s

    @property
    def pending(self) -> bool:
        """Whether a report waits that does not depend on the time."""
        return bool(self._pending)

    def seconds_until_due(self, now_s: float) -> float:
        """Seconds until the next report of counts, or of the current gap."""
        due_s = self._counts_reported_s + COUNTS_REPORT_INTERVAL_S
        if self._queue.gap.total:
            due_s = min(due_s, self._gap_reported_s + GAP_REPORT_INTERVAL_S)
        return max(0.0, due_s - now_s)

    def take_due(self, now_s: float, closing: bool) -> list[StatusRecord]:
        """Return the reports but for the counts that are due, which are no longer pending then."""
        reports = [StatusRecord(self._encode(report, True), report) for report in self._pending]
        self._pending = []
        is_gap_due = closing or now_s >= self._gap_reported_s + GAP_REPORT_INTERVAL_S
        if self._queue.gap.total and is_gap_due:
            gap = self._queue.close_gap()
            reports.append(StatusRecord(self._encode(gap, False), gap))
            self._gap_reported_s = now_s
        return reports

    def take_counts_if_due(self, now_s: float, closing: bool) -> StatusRecord | None:
        """Return the report of the counts if it is due; at shutdown that is once."""
        is_final_due = closing and not self.final_counts_sent
        if not is_final_due and now_s < self._counts_reported_s + COUNTS_REPORT_INTERVAL_S:
            return None
        self._counts_reported_s = now_s
        self.final_counts_sent = closing
        return StatusRecord(
            self._encoder.encode_counts(self._counts, self._queue.dropped, closing, self._clock())
        )

    def on_sent(self, record: StatusRecord) -> None:
        """Note that a report was handed to the kernel completely."""
        if record.report:
            self._sent.append(record.report)

    def on_not_sent(self, record: StatusRecord) -> None:
        """Make a report pending again that could not be sent."""
        if record.report:
            self._pending.insert(0, record.report)
        else:
            self.final_counts_sent = False

    def on_connection_lost(self, unconfirmed: UnconfirmedRange) -> None:
        """Repeat what was reported on the connection, and report the records that it left unconfirmed."""
        self._pending = [*self._sent, *self._pending]
        self._sent.clear()
        if unconfirmed.total:
            self._pending.append(unconfirmed)
        self._pending = self._pending[-MAX_REPEATED_REPORTS:]

    def _encode(self, report: Report, is_repeated: bool) -> bytes:
        now_ns = self._clock()
        if isinstance(report, Gap):
            return self._encoder.encode_gap(report, is_repeated, now_ns)
        return self._encoder.encode_unconfirmed(report, now_ns)
