"""Schedules the reports about the records themselves: gaps, unconfirmed records, and counts.

A report sent on a connection that was then lost may not have arrived. It is sent again and marked as
repeated, so that receiving it twice does no harm. Times are monotonic seconds, and are passed in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anisespool.records.accounting import RecordCounts, UnconfirmedRange
from anisespool.records.buffer import Gap, RecordQueue
from anisespool.records.encoder import RecordEncoder

# Minimum time between two gap reports, which applies while records are dropped continuously.
GAP_REPORT_INTERVAL_S = 1.0
COUNTS_REPORT_INTERVAL_S = 60.0
# The time of an event that has not happened yet: longer ago than any interval.
NEVER_S = -1000.0
# Maximum number of reports that are sent again after their connection was lost.
MAX_REPEATED_REPORTS = 64

Report = Gap | UnconfirmedRange


@dataclass(slots=True, eq=False)
class StatusRecord:
    """An encoded message about the records themselves."""

    message: bytes
    report: Report | None = None
    """The report, to be repeated if it is lost; None for counts, which the next counts replace."""


class StatusReports:
    """Keeps track of one sender's reports: those that are due, and those sent on the current connection.

    Attributes:
        final_counts_sent: Whether the last counts of this process have been reported.
    """

    def __init__(
        self,
        queue: RecordQueue,
        counts: RecordCounts,
        encoder: RecordEncoder,
        clock: Callable[[], int],
        now_s: float,
    ) -> None:
        """Create the object without any report due.

        Args:
            queue: The queue whose gaps are reported.
            counts: Counts to report once in COUNTS_REPORT_INTERVAL_S.
            encoder: Encodes the reports.
            clock: Returns the wall-clock time in Unix ns.
            now_s: The current time.
        """
        self.final_counts_sent = False
        self._queue = queue
        self._counts = counts
        self._encoder = encoder
        self._clock = clock
        self._sent_on_connection: deque[Report] = deque(maxlen=MAX_REPEATED_REPORTS)
        # May include reports that were sent on a connection that was then lost.
        self._pending: list[Report] = []
        self._gap_reported_s = NEVER_S
        self._counts_reported_s = now_s

    @property
    def has_pending(self) -> bool:
        """Whether there are reports to send regardless of the time."""
        return bool(self._pending)

    def seconds_until_due(self, now_s: float) -> float:
        """Return the seconds until the next report of the counts or of the current gap is due."""
        due_s = self._counts_reported_s + COUNTS_REPORT_INTERVAL_S
        if self._queue.gap.total:
            due_s = min(due_s, self._gap_reported_s + GAP_REPORT_INTERVAL_S)
        return max(0.0, due_s - now_s)

    def take_due(self, now_s: float, closing: bool) -> list[StatusRecord]:
        """Return all due reports except the counts; they are then no longer pending."""
        reports = [StatusRecord(self._encode(report, True), report) for report in self._pending]
        self._pending = []
        is_gap_due = closing or now_s >= self._gap_reported_s + GAP_REPORT_INTERVAL_S
        if self._queue.gap.total and is_gap_due:
            gap = self._queue.close_gap()
            reports.append(StatusRecord(self._encode(gap, False), gap))
            self._gap_reported_s = now_s
        return reports

    def take_counts_if_due(self, now_s: float, closing: bool) -> StatusRecord | None:
        """Return the report of the counts if it is due; at shutdown it is due once."""
        is_final_due = closing and not self.final_counts_sent
        if not is_final_due and now_s < self._counts_reported_s + COUNTS_REPORT_INTERVAL_S:
            return None
        self._counts_reported_s = now_s
        self.final_counts_sent = closing
        return StatusRecord(
            self._encoder.encode_counts(self._counts, self._queue.dropped, closing, self._clock())
        )

    def on_sent(self, record: StatusRecord) -> None:
        """Remember a report that was completely handed to the kernel."""
        if record.report:
            self._sent_on_connection.append(record.report)

    def on_not_sent(self, record: StatusRecord) -> None:
        """Make a report that could not be sent pending again."""
        if record.report:
            self._pending.insert(0, record.report)
        else:
            self.final_counts_sent = False

    def on_connection_lost(self, unconfirmed: UnconfirmedRange) -> None:
        """Repeat the reports sent on the connection, and report the records left unconfirmed."""
        self._pending = [*self._sent_on_connection, *self._pending]
        self._sent_on_connection.clear()
        if unconfirmed.total:
            self._pending.append(unconfirmed)
        self._pending = self._pending[-MAX_REPEATED_REPORTS:]

    def _encode(self, report: Report, is_repeated: bool) -> bytes:
        now_ns = self._clock()
        if isinstance(report, Gap):
            return self._encoder.encode_gap(report, is_repeated, now_ns)
        return self._encoder.encode_unconfirmed(report, now_ns)
