"""Notes what an answer shows of the upstream that sent it.

Every daemon that exchanges a request with an upstream is bound by what the
answer says, whether the request is its own or a peer's.
"""

import asyncio
from collections.abc import Callable

from sardinehill import events
from sardinehill import http1
from sardinehill.core import routes
from sardinehill.core.load import upstream_state as state_module
from sardinehill.front import upstream_directory as directory_module
from sardinehill.platform import http_messages


class AnswerSignals:
    """Updates the directory and upstream states from answers."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        log_request: Callable[..., None],
    ):
        self._directory = directory
        self._log = log_request

    def note(
        self,
        upstream: routes.Upstream,
        state: state_module.UpstreamState,
        answer: http1.Response,
        request_id: bytes,
        sent_s: float,
        service_time_s: float,
    ) -> None:
        """Notes limits, load, refusals and whether the upstream leaves.

        Args:
          upstream: the upstream that answered.
          state: its state.
          answer: the complete answer.
          request_id: the request's id, for logs.
          sent_s: when the request was sent, by the loop's clock.
          service_time_s: the usual time that the request takes.
        """
        now_s = asyncio.get_running_loop().time()
        self._note_limit(upstream, answer, request_id, sent_s, now_s)
        if http_messages.says_leaving(answer) and answer.status != 421:
            self._directory.note_leaving(upstream)
        load = http_messages.parse_load(answer)
        if load is not None:
            state.record_load_report(
                load.running, load.waiting, load.slowness, service_time_s, now_s
            )
        if not http_messages.reports_not_run(answer):
            return
        if answer.status != 421:
            state.record_full(now_s)
            self._note_retry_after(upstream, state, answer, now_s)
        elif is_from_another(upstream, answer):
            self._directory.note_ended(upstream)

    def _note_limit(
        self,
        upstream: routes.Upstream,
        answer: http1.Response,
        request_id: bytes,
        sent_s: float,
        now_s: float,
    ) -> None:
        rate_per_s = http_messages.parse_rate_limit(answer)
        # Only an answer that the upstream made itself, and that names nothing,
        # shows that it has no limit any more.
        if rate_per_s is None and (
            http_messages.names_rate_limit(answer)
            or not http_messages.is_from_upstream(answer)
        ):
            return
        if self._directory.note_limit(upstream, rate_per_s, sent_s, now_s):
            self._log(
                events.LIMIT_NAMED,
                upstream=upstream.id,
                rate_per_s=rate_per_s,
                request=request_id,
            )

    def _note_retry_after(
        self,
        upstream: routes.Upstream,
        state: state_module.UpstreamState,
        answer: http1.Response,
        now_s: float,
    ) -> None:
        retry_after_s = http_messages.parse_retry_after_s(answer)
        if answer.status != 503 or retry_after_s is None:
            return
        state.record_retry_after(now_s, retry_after_s)
        events.log(
            events.UPSTREAM_PAUSED,
            upstream=upstream.id,
            retry_after_s=retry_after_s,
        )


def is_from_another(upstream: routes.Upstream, answer: http1.Response) -> bool:
    """Returns whether an answer names another upstream as its sender."""
    answering_id = http_messages.answering_upstream_id(answer)
    return answering_id is not None and answering_id != upstream.id
