"""Compares load balancing strategies in a seeded queueing model.

The model has upstreams with slots and a queue, daemons that send requests to
them, and the age of each daemon's knowledge. It simulates neither networks
nor process faults. It compares ways to select an upstream of an undivided
service, and places at which an upstream's concurrency is limited.

Run as `python -m bench.load_model`.
"""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import random
import statistics

from sardinehill.core import upstream_selection

HOP_DELAY_S = 0.001
MEAN_SERVICE_TIME_S = 0.005
SLOWDOWN_FACTOR = 10.0
SLOW_PERIOD_S = 0.5


@dataclasses.dataclass
class ModelUpstream:
    """An upstream with a number of slots and one FIFO queue."""

    slots: int
    slow_until_s: float = 0.0
    busy_slots: int = 0
    queue: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def request_count(self) -> int:
        """Returns the number of requests in service and in the queue."""
        return self.busy_slots + len(self.queue)


@dataclasses.dataclass(frozen=True)
class ModelParameters:
    """Parameters of one run of the model.

    Attributes:
      daemon_count: entry daemons, each of which selects on its own.
      upstream_count: upstreams of the only service.
      utilisation: offered load as a ratio of the capacity.
      slow_share: share of the upstreams that are slow at any time.
      request_count: requests to simulate.
      seed: the seed of all random numbers.
    """

    daemon_count: int
    upstream_count: int
    utilisation: float = 0.5
    slow_share: float = 0.25
    request_count: int = 40_000
    seed: int = 1


class QueueingModel:
    """Simulates one run as a sequence of events in order of time."""

    def __init__(self, parameters: ModelParameters, slots: int = 3):
        self.parameters = parameters
        self.rng = random.Random(parameters.seed)
        self.now_s = 0.0
        self.upstreams = [
            ModelUpstream(slots) for _ in range(parameters.upstream_count)
        ]
        self.names = [str(index) for index in range(parameters.upstream_count)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.latencies_s: list[float] = []

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedules an action at a simulated time."""
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def run(self, choose: Callable[[int], int]) -> list[float]:
        """Simulates all requests and returns their latencies in seconds.

        Args:
          choose: maps the index of a daemon to the index of an upstream.
        """
        rate_per_s = (
            self.parameters.upstream_count
            * 3
            / MEAN_SERVICE_TIME_S
            * self.parameters.utilisation
        )
        time_s = 0.0
        for _ in range(self.parameters.request_count):
            time_s += self.rng.expovariate(rate_per_s)
            daemon = self.rng.randrange(self.parameters.daemon_count)
            self.schedule(
                time_s, lambda daemon=daemon: self._arrive(daemon, choose)
            )
        self._slow_down_some()
        while (
            self._events
            and len(self.latencies_s) < self.parameters.request_count
        ):
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.latencies_s

    def _slow_down_some(self) -> None:
        slow_count = int(
            self.parameters.upstream_count * self.parameters.slow_share
        )
        for index in self.rng.sample(
            range(self.parameters.upstream_count), slow_count
        ):
            self.upstreams[index].slow_until_s = self.now_s + SLOW_PERIOD_S
        self.schedule(self.now_s + SLOW_PERIOD_S, self._slow_down_some)

    def _arrive(self, daemon: int, choose: Callable[[int], int]) -> None:
        index = choose(daemon)
        start_s = self.now_s
        self.on_sent(daemon, index)
        self.schedule(
            self.now_s + HOP_DELAY_S,
            lambda: self._reach_upstream(daemon, index, start_s),
        )

    def _reach_upstream(self, daemon: int, index: int, start_s: float) -> None:
        upstream = self.upstreams[index]
        if upstream.busy_slots < upstream.slots:
            self._start_service(daemon, index, start_s)
        else:
            upstream.queue.append((daemon, start_s))

    def _start_service(self, daemon: int, index: int, start_s: float) -> None:
        upstream = self.upstreams[index]
        upstream.busy_slots += 1
        is_slow = self.now_s < upstream.slow_until_s
        service_time_s = MEAN_SERVICE_TIME_S * (0.5 + self.rng.expovariate(2.0))
        service_time_s *= SLOWDOWN_FACTOR if is_slow else 1.0
        self.schedule(
            self.now_s + service_time_s,
            lambda: self._finish_service(
                daemon, index, start_s, service_time_s
            ),
        )

    def _finish_service(
        self, daemon: int, index: int, start_s: float, service_time_s: float
    ) -> None:
        upstream = self.upstreams[index]
        upstream.busy_slots -= 1
        if upstream.queue:
            next_daemon, next_start_s = upstream.queue.popleft()
            self._start_service(next_daemon, index, next_start_s)
        outstanding = upstream.request_count()
        self.schedule(
            self.now_s + HOP_DELAY_S,
            lambda: self._receive_answer(
                daemon, index, start_s, outstanding, service_time_s
            ),
        )

    def _receive_answer(
        self,
        daemon: int,
        index: int,
        start_s: float,
        outstanding: int,
        service_time_s: float,
    ) -> None:
        self.latencies_s.append(self.now_s - start_s)
        self.on_answered(daemon, index, outstanding, service_time_s)

    def on_sent(self, daemon: int, index: int) -> None:
        """Handles a sent request; a subclass may count it."""

    def on_answered(
        self, daemon: int, index: int, outstanding: int, service_time_s: float
    ) -> None:
        """Handles an answer and the load reported with it."""


class InFlightCountModel(QueueingModel):
    """A model in which each daemon counts its own requests in flight."""

    def __init__(self, parameters: ModelParameters):
        super().__init__(parameters)
        self.in_flight = [
            [0] * parameters.upstream_count
            for _ in range(parameters.daemon_count)
        ]

    def on_sent(self, daemon: int, index: int) -> None:
        """Adds a request to the count."""
        self.in_flight[daemon][index] += 1

    def on_answered(
        self, daemon: int, index: int, outstanding: int, service_time_s: float
    ) -> None:
        """Removes an answered request from the count."""
        self.in_flight[daemon][index] -= 1


class LoadReportModel(InFlightCountModel):
    """A model with load reports on answers and on additional probes."""

    def __init__(
        self,
        parameters: ModelParameters,
        uses_per_report: int,
        probe_share: float,
    ):
        super().__init__(parameters)
        self.pools = [
            upstream_selection.LoadReportPool(
                uses_per_report=uses_per_report, max_age_s=0.5
            )
            for _ in range(parameters.daemon_count)
        ]
        self.probe_share = probe_share
        self.probe_count = 0

    def on_sent(self, daemon: int, index: int) -> None:
        """Counts a request and, for a share of them, probes an upstream."""
        super().on_sent(daemon, index)
        if self.rng.random() >= self.probe_share:
            return
        sampled = self.rng.sample(self.names, 2)
        unknown = self.pools[daemon].without_report(sampled, self.now_s)
        self._probe(daemon, int((unknown or sampled)[0]))

    def on_answered(
        self, daemon: int, index: int, outstanding: int, service_time_s: float
    ) -> None:
        """Adds the load report of an answer to the daemon's pool."""
        super().on_answered(daemon, index, outstanding, service_time_s)
        self._add_report(daemon, index, outstanding)

    def _probe(self, daemon: int, index: int) -> None:
        self.probe_count += 1

        def read_load() -> None:
            outstanding = self.upstreams[index].request_count()
            self.schedule(
                self.now_s + HOP_DELAY_S,
                lambda: self._add_report(daemon, index, outstanding),
            )

        self.schedule(self.now_s + HOP_DELAY_S, read_load)

    def _add_report(self, daemon: int, index: int, outstanding: int) -> None:
        # The gateway knows its upstream's recent latency from all requests.
        is_slow = self.now_s < self.upstreams[index].slow_until_s
        latency_s = MEAN_SERVICE_TIME_S * (SLOWDOWN_FACTOR if is_slow else 1.0)
        self.pools[daemon].add(
            self.names[index], outstanding, latency_s, 3, self.now_s
        )


def percentile_s(latencies_s: list[float], share: float) -> float:
    """Returns the latency that a share of the requests does not exceed."""
    ordered = sorted(latencies_s)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compare_selectors(
    parameters: ModelParameters, sample_size: int = 6
) -> Iterator[tuple[str, list[float], float]]:
    """Yields each selector's name, latencies and probes per request."""
    model: QueueingModel = QueueingModel(parameters)
    rng = random.Random(parameters.seed)
    select_random = upstream_selection.random_choice(rng)
    yield (
        "random",
        model.run(lambda daemon, model=model: int(select_random(model.names))),
        0.0,
    )
    model = QueueingModel(parameters)
    round_robins = [
        upstream_selection.round_robin() for _ in range(parameters.daemon_count)
    ]
    yield (
        "round robin",
        model.run(
            lambda daemon, model=model: int(round_robins[daemon](model.names))
        ),
        0.0,
    )
    counting_model = InFlightCountModel(parameters)
    selectors = [
        _least_in_flight_selector(counting_model, rng, daemon)
        for daemon in range(parameters.daemon_count)
    ]
    yield (
        "least in flight of two",
        counting_model.run(
            lambda daemon: int(selectors[daemon](counting_model.names))
        ),
        0.0,
    )
    for uses in (1, 4, 16):
        reporting_model = LoadReportModel(parameters, uses, probe_share=0.2)
        selectors = [
            _expected_latency_selector(
                reporting_model, rng, daemon, sample_size
            )
            for daemon in range(parameters.daemon_count)
        ]
        latencies_s = reporting_model.run(
            lambda daemon, selectors=selectors, model=reporting_model: int(
                selectors[daemon](model.names)
            )
        )
        name = f"reports, {uses} uses"
        yield (
            name,
            latencies_s,
            reporting_model.probe_count / parameters.request_count,
        )


def _least_in_flight_selector(
    model: InFlightCountModel, rng: random.Random, daemon: int
) -> upstream_selection.Selector:
    in_flight = model.in_flight[daemon]
    return upstream_selection.power_of_two_choices(
        rng, lambda name: in_flight[int(name)]
    )


def _expected_latency_selector(
    model: LoadReportModel, rng: random.Random, daemon: int, sample_size: int
) -> upstream_selection.Selector:
    return upstream_selection.least_expected_latency(
        rng,
        model.pools[daemon],
        lambda: model.now_s,
        lambda name: 0.0,
        _least_in_flight_selector(model, rng, daemon),
        sample_size=sample_size,
    )


def compare_concurrency_limits(
    parameters: ModelParameters,
) -> Iterator[tuple[str, list[float]]]:
    """Yields the name and the latencies for each place of the limit.

    Each request has one owner, as in a service divided by key. At a gateway,
    all requests of an upstream share its slots: every daemon sends without a
    limit, and the upstream's queue takes all requests. Lent slots are split
    among the daemons that last asked for them, and requests wait at their
    daemon. Random subsets of upstreams are not compared, because a request
    with one owner cannot be sent to another upstream.
    """
    yield "gateway", _run_concurrency_limit(parameters, lends_slots=False)
    yield "lent slots", _run_concurrency_limit(parameters, lends_slots=True)


class SlotLendingModel(QueueingModel):
    """A model in which a slot serves only the daemon that borrowed it.

    Another daemon can borrow the slot once its lease has expired.

    Attributes:
      lease_s: how long a daemon keeps a borrowed slot.
      holders: the daemon that borrowed each slot, by upstream and slot.
      lent_at_s: when each slot was lent last.
      in_use: whether each slot serves a request.
      wake_scheduled: whether a wake-up at the end of a lease is scheduled.
    """

    lease_s = 0.05

    def __init__(self, parameters: ModelParameters):
        super().__init__(parameters)
        self.holders = [[0] * 3 for _ in range(parameters.upstream_count)]
        self.lent_at_s = [[-1.0] * 3 for _ in range(parameters.upstream_count)]
        self.in_use = [[False] * 3 for _ in range(parameters.upstream_count)]
        self.wake_scheduled = [
            [False] * 3 for _ in range(parameters.upstream_count)
        ]

    def _reach_upstream(self, daemon: int, index: int, start_s: float) -> None:
        self.upstreams[index].queue.append((daemon, start_s))
        self._start_queued(index)

    def _start_queued(self, index: int) -> None:
        upstream = self.upstreams[index]
        for slot in range(3):
            if self.in_use[index][slot]:
                continue
            for queued in upstream.queue:
                daemon, start_s = queued
                if not self._try_borrow(index, slot, daemon):
                    continue
                upstream.queue.remove(queued)
                self.in_use[index][slot] = True
                self._use_slot(daemon, index, slot, start_s)
                break

    def _try_borrow(self, index: int, slot: int, daemon: int) -> bool:
        if self.holders[index][slot] == daemon:
            return True
        expires_s = self.lent_at_s[index][slot] + self.lease_s
        if self.now_s < expires_s:
            if not self.wake_scheduled[index][slot]:
                self.wake_scheduled[index][slot] = True
                self.schedule(expires_s, lambda: self._wake(index, slot))
            return False
        self.holders[index][slot] = daemon
        self.lent_at_s[index][slot] = self.now_s
        return True

    def _wake(self, index: int, slot: int) -> None:
        self.wake_scheduled[index][slot] = False
        self._start_queued(index)

    def _use_slot(
        self, daemon: int, index: int, slot: int, start_s: float
    ) -> None:
        is_slow = self.now_s < self.upstreams[index].slow_until_s
        service_time_s = MEAN_SERVICE_TIME_S * (0.5 + self.rng.expovariate(2.0))
        service_time_s *= SLOWDOWN_FACTOR if is_slow else 1.0

        def finish() -> None:
            self.in_use[index][slot] = False
            self._start_queued(index)
            self.schedule(
                self.now_s + HOP_DELAY_S,
                lambda: self._receive_answer(
                    daemon, index, start_s, 0, service_time_s
                ),
            )

        self.schedule(self.now_s + service_time_s, finish)


def _run_concurrency_limit(
    parameters: ModelParameters, lends_slots: bool
) -> list[float]:
    model = (
        SlotLendingModel(parameters)
        if lends_slots
        else QueueingModel(parameters)
    )
    rng = random.Random(parameters.seed)
    return model.run(lambda daemon: rng.randrange(parameters.upstream_count))


def _print_row(
    name: str, latencies_s: list[float], probes_per_request: float
) -> None:
    figures = [
        percentile_s(latencies_s, share) * 1000 for share in (0.5, 0.99, 0.999)
    ]
    mean_ms = statistics.fmean(latencies_s) * 1000
    print(
        f"| {name} | {mean_ms:.1f} | "
        + " | ".join(f"{figure:.1f}" for figure in figures)
        + f" | {probes_per_request:.2f} |"
    )


def main() -> None:
    """Prints the tables of `docs/design/load.md`."""
    parser = argparse.ArgumentParser(prog="bench.load_model")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=40_000)
    parser.add_argument("--compared", type=int, default=6)
    options = parser.parse_args()
    for daemons, upstreams, request_factor in ((11, 20, 1), (640, 120, 4)):
        parameters = ModelParameters(
            daemons,
            upstreams,
            request_count=options.requests * request_factor,
            seed=options.seed,
        )
        print(f"upstream selection, {daemons} daemons, {upstreams} upstreams")
        print("| selector | mean ms | p50 | p99 | p99.9 | probes per request |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, latencies_s, probes_per_request in compare_selectors(
            parameters, options.compared
        ):
            _print_row(name, latencies_s, probes_per_request)
    for utilisation in (0.3, 0.5):
        parameters = ModelParameters(
            11,
            20,
            utilisation,
            slow_share=0.0,
            request_count=options.requests,
            seed=options.seed,
        )
        print(f"concurrency limit, 11 daemons, utilisation {utilisation}")
        print("| limit | mean ms | p50 | p99 | p99.9 | |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, latencies_s in compare_concurrency_limits(parameters):
            _print_row(name, latencies_s, 0.0)


if __name__ == "__main__":
    main()
