"""A proxy that records each request."""

from __future__ import annotations

import time
from collections import OrderedDict

from anisespool.balancer import interface as api
from anisespool.balancer.interface import EndpointListKind
from anisespool.config.platform import EndpointList, PlatformConfig
from anisespool.proxy.call import FinalResponse
from anisespool.proxy.deadlines import RESPONSE_RESERVE_NS
from anisespool.proxy.exchange import Completion, Exchange
from anisespool.proxy.observed import ObservedProxy
from anisespool.records.outcome import Outcome
from anisespool.records.recorder import Recorder, request_fingerprint
from anisespool.records.request_record import AttemptRecord, RequestRecord
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.cluster import Cluster

OUTCOMES_BY_STATUS = {200: Outcome.SERVED, 503: Outcome.SHED, 0: Outcome.CLIENT_DISCONNECTED}
# Number of removed endpoints whose ids are kept, for records of attempts still in flight there.
MAX_REMOVED_ENDPOINTS = 1024

# Bound once, as it is used for each request and Python 3.11 looks up enum members through a property.
_FAILED = Outcome.FAILED


class RecordedProxy(ObservedProxy):
    """Passes each request to a recorder once its last attempt has ended."""

    def __init__(self, config: PlatformConfig, cluster: Cluster, recorder: Recorder) -> None:
        """Create a proxy that passes its records to `recorder`."""
        super().__init__(config, cluster)
        self._recorder = recorder
        self._endpoint_ids: dict[int, str] = {}
        self._removed_endpoint_ids: OrderedDict[int, str] = OrderedDict()

    def client_disconnected(self, request_id: int) -> None:
        """See `Proxy.client_disconnected`."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.send_response:
            exchange.completion = Completion(0, time.monotonic_ns(), 0.0)
        super().client_disconnected(request_id)

    def _respond(self, exchange: Exchange, response: FinalResponse) -> None:
        if exchange.send_response:
            exchange.completion = Completion(response.status, time.monotonic_ns(), response.retry_after_s)
        super()._respond(exchange, response)

    def _attempt_finished(self, attempt: Attempt) -> None:
        attempt.finished_ns = time.monotonic_ns()
        super()._attempt_finished(attempt)

    def _remove_if_finished(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        super()._remove_if_finished(request_id)
        if exchange and request_id not in self._exchanges:
            try:
                record = self._request_record(exchange)
            except Exception as error:  # As in `Recorder.record`, an error loses only this record.
                self._recorder.log_failure(error)
                return
            self._recorder.record(record)

    def _request_record(self, exchange: Exchange) -> RequestRecord:
        assert exchange.completion
        call = exchange.call
        status, finished_ns, retry_after_s = exchange.completion
        headers = call.request.headers
        tenant = headers.get(b"x-customer", b"")
        attempts = tuple(
            AttemptRecord(
                self._endpoint_id(attempt.endpoint),
                attempt.status or 0,
                attempt.started_ns,
                attempt.finished_ns,
            )
            for attempt in exchange.attempts
        )
        # Positional arguments, as keywords are slower and this runs for each request.
        return RequestRecord(
            call.request_class,
            OUTCOMES_BY_STATUS.get(status, _FAILED),
            status,
            headers.get(b"x-trace-id", b""),
            tenant,
            request_fingerprint(call.request, tenant),
            call.is_retry,
            # arrived_ns; it is too early if a shutdown has shortened the time for attempts.
            exchange.attempts_end_at - max(0, call.timeout_ns - RESPONSE_RESERVE_NS),
            finished_ns,
            retry_after_s,
            attempts,
        )

    def _endpoint_id(self, number: int) -> str:
        return self._endpoint_ids.get(number) or self._removed_endpoint_ids.get(number) or f"number {number}"

    def _apply_endpoint_list(self, update: EndpointList, kind: EndpointListKind) -> list[api.EndpointListing]:
        before = self.endpoint_ids()
        listings = super()._apply_endpoint_list(update, kind)
        self._endpoint_ids = self.endpoint_ids()
        for number, endpoint_id in before.items():
            if number not in self._endpoint_ids:
                self._removed_endpoint_ids[number] = endpoint_id
                if len(self._removed_endpoint_ids) > MAX_REMOVED_ENDPOINTS:
                    self._removed_endpoint_ids.popitem(last=False)
        return listings
