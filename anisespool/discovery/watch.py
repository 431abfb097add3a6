"""Watches the endpoint list: reconnects to discovery, and applies the updates in order."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from random import Random
from typing import Any

from anisespool.backoff import Backoff
from anisespool.codec.json_stream import JsonStreamError
from anisespool.config.platform import Address, EndpointList, NameIndex, parse_endpoint_list
from anisespool.discovery import timeouts
from anisespool.discovery.contact import DiscoveryContact
from anisespool.discovery.repeat_limit import RepeatLimit
from anisespool.discovery.timeouts import WatchTiming
from anisespool.discovery.update_progress import UpdateProgress
from anisespool.discovery.update_stream import UpdateStream
from anisespool.log import log_event


class EndpointWatch:
    """Keeps the endpoint list up to date: passes updates on in order, and requests a failed one once more.

    Attributes:
        first_attempt_done: Set once an update was handled or the first attempt has ended.
    """

    def __init__(
        self,
        address: Address,
        names: NameIndex,
        revision: int,
        on_update: Callable[[EndpointList], None],
        timing: WatchTiming,
        contact: DiscoveryContact | None = None,
    ) -> None:
        """Prepare a watch, which `run` opens.

        Args:
            address: Address of the discovery service.
            names: Indexes of the names in the settings, used to parse updates.
            revision: Revision of the last update that has already been applied.
            on_update: Applies an update. If it raises an error, the update counts as not applied.
            timing: Time limits.
            contact: Notes when discovery is heard; None for one of its own.
        """
        self.first_attempt_done = asyncio.Event()
        self._address = address
        self._names = names
        self._progress = UpdateProgress(revision)
        self._on_update = on_update
        self._timing = timing
        self._contact = contact or DiscoveryContact()
        self._backoff = Backoff(timeouts.INITIAL_BACKOFF_S, timing.max_backoff_s, Random())
        self._attempt: asyncio.Task[None] | None = None
        self._stream: UpdateStream | None = None
        self._repeat_limit = RepeatLimit()

    def has_unread_updates(self) -> bool:
        """Return whether discovery has sent more than was read."""
        return bool(self._stream and self._stream.has_unread_input)

    def change_address(self, address: Address) -> None:
        """Switch to another address, without waiting for the old attempt or its backoff to end.

        Another service may number its revisions differently, and updates after a revision of the old service
        could be incomplete, so the complete list is requested.
        """
        if address == self._address:
            return
        log_event("endpoint_list_watch_moved", address="{}:{}".format(*address))
        self._address = address
        self._backoff.reset()
        self._contact.interrupt()
        self._progress.request_complete_list()
        if self._attempt:
            self._attempt.cancel()

    async def run(self) -> None:
        """Keep a watch open until cancelled; an attempt that ends is followed by another after a backoff."""
        while True:
            self._attempt = asyncio.create_task(self._attempt_and_back_off())
            try:
                await asyncio.wait([self._attempt])  # A cancelled attempt does not end the watch.
            finally:
                self._attempt.cancel()
            # Without this pause, an attempt whose error handling fails would be repeated at once.
            if not self._attempt.cancelled() and self._attempt.exception():
                await asyncio.sleep(timeouts.MAX_FAULT_BACKOFF_S)

    async def _attempt_and_back_off(self) -> None:
        self._progress.begin_attempt()
        # The failure is stored as text, because an exception would keep the frames of the attempt alive.
        failure = ""
        try:
            revision = self._progress.revision
            self._stream = UpdateStream(
                self._address, revision, self._timing, self._apply_updates, self._contact
            )
            await self._stream.run()
        except (OSError, TimeoutError, JsonStreamError) as error:
            if isinstance(error, JsonStreamError):
                self._progress.record_invalid_stream(str(error))
            failure = _describe(error)
        except Exception as error:
            # Every kind of error is handled, because without a watch all later drains would be missed.
            log_event("endpoint_list_watch_crashed", error=_describe(error))
            traceback.print_exc()
        self.first_attempt_done.set()
        self._progress.end_attempt()
        max_delay_s = timeouts.MAX_FAULT_BACKOFF_S if self._progress.fault else None
        delay_s = self._backoff.next_delay_s(max_delay_s)
        if failure:
            self._log_failure(failure, delay_s)
        await asyncio.sleep(delay_s)

    def _apply_updates(self, documents: list[Any]) -> bool:
        """Apply updates that arrived together; return whether this attempt has had no fault."""
        for document in documents:
            self._apply_update(document)
        if self._progress.fault:
            return False
        self._backoff.reset()
        return True

    def _apply_update(self, document: Any) -> None:
        """Apply the readable part of one update of the list."""
        update: EndpointList | None = None
        try:
            update = parse_endpoint_list(document, self._names)
            fault = "; ".join(update.faults)
            self._on_update(update)
        except ValueError as error:
            fault = str(error)
        except Exception as error:
            # An error in applying an update must not end the watch.
            traceback.print_exc()
            fault = _describe(error)
        if fault:
            self._log_not_applied(fault)
        self._progress.record_update(update.revision if update else None, fault)
        self.first_attempt_done.set()

    def _log_failure(self, error: str, delay_s: float) -> None:
        if self._allow_log(f"failed: {error}"):
            log_event("endpoint_list_watch_failed", error=error, retry_s=f"{delay_s:.3f}")

    def _log_not_applied(self, error: str) -> None:
        if self._allow_log(f"not applied: {error}"):
            log_event("endpoint_list_update_not_applied", error=error)

    def _allow_log(self, key: str) -> bool:
        return self._repeat_limit.allow(key, asyncio.get_running_loop().time())


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
