"""Exchanges messages with one scheduler of slots, and detects its loss."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from sardinehill import errors
from sardinehill import events
from sardinehill.core.load import slot_messages
from sardinehill.front import peer_links
from sardinehill.wire import envelopes
from sardinehill.wire import message_kinds
from sardinehill.wire import slots

# A scheduler counts as lost if it has sent nothing for this time after a
# request.
FIRST_MESSAGE_TIMEOUT_S = 0.15
# It also counts as lost if it has sent nothing for this time while a request
# waits.
SILENCE_TIMEOUT_S = 0.5
# An event loop that was busy runs timers before it reads sockets, so silence
# counts only after the loop has read them.
SILENCE_CHECK_DELAY_S = 0.01
# A lost scheduler is asked nothing for this time.
EXCLUSION_S = 1.0
# The link to a scheduler is opened anew after it was silent this often in a
# row, as its host may be gone.
MAX_CONSECUTIVE_SILENCES = 2


class SlotHandler(Protocol):
    """Handles requests for slots; the server of this daemon's schedulers."""

    def handle(
        self,
        sender: object,
        name: str,
        requests: slot_messages.SlotRequests,
        send: Callable[[slot_messages.SlotDecisions], None],
    ) -> None:
        """Handles requests and releases; sends decisions at once or later."""

    def remove(self, sender: object) -> None:
        """Removes a sender, as if its link were lost."""


@dataclasses.dataclass(eq=False, slots=True)
class SlotWait:
    """A request that waits for the decision of a scheduler.

    Attributes:
      request: the request as it was sent.
      decided: gets the decision: a grant or a refusal, or None if the scheduler
        was lost.
      was_queued: whether the scheduler has said that the request waits.
    """

    request: slot_messages.SlotRequest
    decided: asyncio.Future[
        slot_messages.SlotGrant | slot_messages.SlotRefusal | None
    ]
    was_queued: bool = False


class SchedulerLink:
    """The requests to one scheduler, over a link that is opened on demand.

    Public attributes:
      entry: the scheduler.
      waits: the requests that wait for its decision, by request id.
      held_slots: how many slots that it granted are not released.
      is_lost: whether it was lost and has sent nothing since.
    """

    def __init__(
        self,
        entry: slot_messages.SchedulerEntry,
        own_name: str,
        server: SlotHandler,
        clock_s: Callable[[], float],
        on_decisions: Callable[
            ["SchedulerLink", slot_messages.SlotDecisions], None
        ],
        on_lost: Callable[["SchedulerLink", str], None],
    ):
        """Creates a link that is not open.

        Args:
          entry: the scheduler.
          own_name: the name of this daemon.
          server: handles the requests if this daemon is the scheduler.
          clock_s: the event loop's clock.
          on_decisions: is called with each message.
          on_lost: is called with the cause when the scheduler is lost.
        """
        self.entry = entry
        self._own_name = own_name
        self._server = server
        self._clock_s = clock_s
        self._on_decisions = on_decisions
        self._on_lost = on_lost
        self._link: peer_links.PeerLink | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._batch = slot_messages.SlotRequests()
        self._is_flush_due = False
        self._excluded_until_s = 0.0
        # When the first request was sent after the last message was received;
        # None if there is none.
        self._unanswered_since_s: float | None = None
        # When the last message was received or the first request began to
        # wait.
        self._silent_since_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._consecutive_silences = 0
        self._is_closed = False
        self.waits: dict[int, SlotWait] = {}
        self.held_slots = 0
        self.is_lost = False

    @property
    def is_own(self) -> bool:
        """Whether this daemon itself is the scheduler."""
        return self.entry.daemon == self._own_name

    @property
    def is_open(self) -> bool:
        """Whether a message would be sent without opening a connection."""
        if self._is_closed:
            return False
        return self.is_own or (self._link is not None and self._link.is_open)

    def is_excluded(self, now_s: float) -> bool:
        """Returns whether it was lost within `EXCLUSION_S`."""
        return now_s < self._excluded_until_s

    # sending

    def submit(self, wait: SlotWait) -> None:
        """Sends a request."""
        now_s = self._clock_s()
        if not self.waits:
            self._silent_since_s = now_s
        self.waits[wait.request.request_id] = wait
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        self._batch.requests.append(wait.request)
        self._schedule_flush()
        if self._timer is None:
            self._set_timer(self._silent_at_s())

    def release(self, release: slot_messages.SlotRelease) -> None:
        """Sends a release; it is dropped if the link is not open."""
        if self.is_open or self._connecting is not None:
            self._batch.releases.append(release)
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._is_flush_due:
            self._is_flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Sends what was added since the last pass of the event loop."""
        self._is_flush_due = False
        if self._is_closed or self._connecting is not None:
            return
        if not self.is_open:
            self._connecting = asyncio.create_task(self._connect())
            return
        batch, self._batch = self._batch, slot_messages.SlotRequests()
        if not batch.requests and not batch.releases:
            return
        if self.is_own:
            self._server.handle(self, self._own_name, batch, self._receive)
        elif self._link is not None:
            self._link.send(
                message_kinds.MessageKind.SLOT_REQUESTS,
                slots.encode_requests(batch),
            )

    async def _connect(self) -> None:
        try:
            link = await peer_links.connect(
                self.entry.address,
                self._own_name,
                self._receive_message,
                self._note_link_lost,
            )
        except errors.PeerError as error:
            self._connecting = None
            self._lose(str(error))
            return
        self._connecting = None
        if self._is_closed:
            link.close()
            return
        self._link = link
        self._flush()

    # receiving

    def _receive_message(
        self, link: peer_links.PeerLink, envelope: envelopes.Envelope
    ) -> None:
        if (
            link is not self._link
            or envelope.kind != message_kinds.MessageKind.SLOT_DECISIONS
        ):
            return
        try:
            decisions = slots.decode_decisions(envelope.payload)
        except errors.PeerFrameError as error:
            events.log(
                events.PEER_REFUSED, peer=envelope.sender, error=str(error)
            )
            link.close()
            return
        self._receive(decisions)

    def _receive(self, decisions: slot_messages.SlotDecisions) -> None:
        if self._is_closed:
            return
        self._silent_since_s = self._clock_s()
        self._unanswered_since_s = None
        self._consecutive_silences = 0
        self._on_decisions(self, decisions)

    # loss

    def _silent_at_s(self) -> float:
        """Returns when the scheduler is lost if it sends nothing."""
        silent_at_s = self._silent_since_s + SILENCE_TIMEOUT_S
        if self._unanswered_since_s is None:
            return silent_at_s
        return min(
            silent_at_s, self._unanswered_since_s + FIRST_MESSAGE_TIMEOUT_S
        )

    def _set_timer(self, at_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_at(
            at_s, self._check_silence, False
        )

    def _check_silence(self, is_confirmed: bool) -> None:
        self._timer = None
        if not self.waits:
            return
        now_s = self._clock_s()
        silent_at_s = self._silent_at_s()
        if now_s < silent_at_s:
            self._set_timer(silent_at_s)
        elif is_confirmed:
            self._lose("silent")
        else:
            self._timer = asyncio.get_running_loop().call_later(
                SILENCE_CHECK_DELAY_S, self._check_silence, True
            )

    def _note_link_lost(self, link: peer_links.PeerLink) -> None:
        if link is self._link:
            self._link = None
            if not self._is_closed:
                self._lose("link closed")

    def _lose(self, cause: str) -> None:
        self._excluded_until_s = self._clock_s() + EXCLUSION_S
        self._unanswered_since_s = None
        self._batch = slot_messages.SlotRequests()
        self._consecutive_silences += 1
        if (
            self._consecutive_silences >= MAX_CONSECUTIVE_SILENCES
            and self._link is not None
        ):
            link, self._link = self._link, None
            link.close()
        if not self._is_closed:
            self._on_lost(self, cause)

    def close(self) -> None:
        """Closes the link; the scheduler then drops its waiting requests."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._link is not None:
            self._link.close()
        if self.is_own:
            self._server.remove(self)
