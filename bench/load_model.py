"""A seeded queueing model of the ways to spread load over upstreams.

No network and no fault of a process is simulated: only upstreams with slots
and a queue, daemons that send to them, and how old each daemon's knowledge
is. Two questions are asked of it: how an upstream of an undivided service is
chosen, and where an upstream's concurrency is decided.

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
    """One upstream of the model: slots and one queue, first come first."""

    slots: int
    slow_until_s: float = 0.0
    busy_slots: int = 0
    queue: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def request_count(self) -> int:
        """Returns requests in service and waiting."""
        return self.busy_slots + len(self.queue)


@dataclasses.dataclass(frozen=True)
class ModelParameters:
    """What is asked of the model.

    Attributes:
      daemon_count: entry daemons, each choosing by itself.
      upstream_count: upstreams of the one service.
      utilisation: offered load over capacity.
      slow_share: share of the upstreams that is slow at any moment.
      request_count: requests to simulate.
      seed: of all random numbers.
    """

    daemon_count: int
    upstream_count: int
    utilisation: float = 0.5
    slow_share: float = 0.25
    request_count: int = 40_000
    seed: int = 1


class QueueingModel:
    """One run: arrivals, choices and answers in order of time."""

    def __init__(self, load: ModelParameters, slots: int = 3):
        self.parameters = load
        self.rng = random.Random(load.seed)
        self.now_s = 0.0
        self.upstreams = [
            ModelUpstream(slots) for _ in range(load.upstream_count)
        ]
        self.names = [str(index) for index in range(load.upstream_count)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.latencies_s: list[float] = []

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Does something later."""
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def run(self, choose: Callable[[int], int]) -> list[float]:
        """Runs the load; `choose` maps a daemon to an upstream's index."""
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
        slow = int(self.parameters.upstream_count * self.parameters.slow_share)
        for index in self.rng.sample(
            range(self.parameters.upstream_count), slow
        ):
            self.upstreams[index].slow_until_s = self.now_s + SLOW_PERIOD_S
        self.schedule(self.now_s + SLOW_PERIOD_S, self._slow_down_some)

    def _arrive(self, daemon: int, choose: Callable[[int], int]) -> None:
        index = choose(daemon)
        began_s = self.now_s
        self.on_sent(daemon, index)
        self.schedule(
            self.now_s + HOP_DELAY_S,
            lambda: self._reach_upstream(daemon, index, began_s),
        )

    def _reach_upstream(self, daemon: int, index: int, began_s: float) -> None:
        upstream = self.upstreams[index]
        if upstream.busy_slots < upstream.slots:
            self._start_service(daemon, index, began_s)
        else:
            upstream.queue.append((daemon, began_s))

    def _start_service(self, daemon: int, index: int, began_s: float) -> None:
        upstream = self.upstreams[index]
        upstream.busy_slots += 1
        slow = self.now_s < upstream.slow_until_s
        work_s = MEAN_SERVICE_TIME_S * (0.5 + self.rng.expovariate(2.0))
        work_s *= SLOWDOWN_FACTOR if slow else 1.0
        self.schedule(
            self.now_s + work_s,
            lambda: self._finish_service(daemon, index, began_s, work_s),
        )

    def _finish_service(
        self, daemon: int, index: int, began_s: float, work_s: float
    ) -> None:
        upstream = self.upstreams[index]
        upstream.busy_slots -= 1
        if upstream.queue:
            next_daemon, next_began_s = upstream.queue.popleft()
            self._start_service(next_daemon, index, next_began_s)
        held = upstream.request_count()
        self.schedule(
            self.now_s + HOP_DELAY_S,
            lambda: self._receive_answer(daemon, index, began_s, held, work_s),
        )

    def _receive_answer(
        self,
        daemon: int,
        index: int,
        began_s: float,
        held: int,
        work_s: float,
    ) -> None:
        self.latencies_s.append(self.now_s - began_s)
        self.on_answered(daemon, index, held, work_s)

    def on_sent(self, daemon: int, index: int) -> None:
        """Called with each request; a way of choosing may keep count."""

    def on_answered(
        self, daemon: int, index: int, held: int, work_s: float
    ) -> None:
        """Called with each answer, and what the gateway says with it."""


class InFlightCountModel(QueueingModel):
    """Each daemon knows its own requests in flight."""

    def __init__(self, load: ModelParameters):
        super().__init__(load)
        self.in_flight = [
            [0] * load.upstream_count for _ in range(load.daemon_count)
        ]

    def on_sent(self, daemon: int, index: int) -> None:
        """Counts a request."""
        self.in_flight[daemon][index] += 1

    def on_answered(
        self, daemon: int, index: int, held: int, work_s: float
    ) -> None:
        """Counts an answer."""
        self.in_flight[daemon][index] -= 1


class LoadReportModel(InFlightCountModel):
    """Each answer carries the gateway's report; some probes are sent."""

    def __init__(self, load: ModelParameters, uses: int, probe_share: float):
        super().__init__(load)
        self.pools = [
            upstream_selection.LoadReportPool(
                uses_per_report=uses, max_age_s=0.5
            )
            for _ in range(load.daemon_count)
        ]
        self.probe_share = probe_share
        self.probe_count = 0

    def on_sent(self, daemon: int, index: int) -> None:
        """Counts a request, and probes an upstream now and then."""
        super().sent(daemon, index)
        if self.rng.random() >= self.probe_share:
            return
        drawn = self.rng.sample(self.names, 2)
        unknown = self.pools[daemon].without_report(drawn, self.now_s)
        self._probe(daemon, int((unknown or drawn)[0]))

    def on_answered(
        self, daemon: int, index: int, held: int, work_s: float
    ) -> None:
        """Takes in the report that came with an answer."""
        super().answered(daemon, index, held, work_s)
        self._add_report(daemon, index, held)

    def _probe(self, daemon: int, index: int) -> None:
        self.probe_count += 1

        def look() -> None:
            held = self.upstreams[index].request_count()
            self.schedule(
                self.now_s + HOP_DELAY_S,
                lambda: self._add_report(daemon, index, held),
            )

        self.schedule(self.now_s + HOP_DELAY_S, look)

    def _add_report(self, daemon: int, index: int, held: int) -> None:
        # The gateway knows its upstream's latency of late from all requests.
        slow = self.now_s < self.upstreams[index].slow_until_s
        latency_s = MEAN_SERVICE_TIME_S * (SLOWDOWN_FACTOR if slow else 1.0)
        self.pools[daemon].add(
            self.names[index], held, latency_s, 3, self.now_s
        )


def percentile_s(latencies_s: list[float], share: float) -> float:
    """Returns the latency under which a share of the requests stays."""
    ordered = sorted(latencies_s)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compare_selectors(
    load: ModelParameters, sample_size: int = 6
) -> Iterator[tuple[str, list[float], float]]:
    """Yields each way's name, latencies and probes for each request."""
    model: QueueingModel = QueueingModel(load)
    rng = random.Random(load.seed)
    drawn = upstream_selection.random_choice(rng)
    yield (
        "random",
        model.run(lambda daemon, model=model: int(drawn(model.names))),
        0.0,
    )
    model = QueueingModel(load)
    turns = [upstream_selection.round_robin() for _ in range(load.daemon_count)]
    yield (
        "round robin",
        model.run(lambda daemon, model=model: int(turns[daemon](model.names))),
        0.0,
    )
    counting = InFlightCountModel(load)
    choosers = [
        _least_in_flight_selector(counting, rng, d)
        for d in range(load.daemon_count)
    ]
    yield (
        "least in flight of two",
        counting.run(lambda daemon: int(choosers[daemon](counting.names))),
        0.0,
    )
    for uses in (1, 4, 16):
        reporting = LoadReportModel(load, uses, probe_share=0.2)
        choosers = [
            _expected_latency_selector(reporting, rng, d, sample_size)
            for d in range(load.daemon_count)
        ]
        latencies_s = reporting.run(
            lambda daemon, choosers=choosers, model=reporting: int(
                choosers[daemon](model.names)
            )
        )
        name = f"reports, {uses} uses"
        yield name, latencies_s, reporting.probe_count / load.request_count


def _least_in_flight_selector(
    model: InFlightCountModel, rng: random.Random, daemon: int
) -> upstream_selection.Selector:
    in_flight = model.in_flight[daemon]
    return upstream_selection.power_of_two_choices(
        rng, lambda name: in_flight[int(name)]
    )


def _expected_latency_selector(
    model: LoadReportModel, rng: random.Random, daemon: int, compared: int
) -> upstream_selection.Selector:
    return upstream_selection.least_expected_latency(
        rng,
        model.pools[daemon],
        lambda: model.now_s,
        lambda name: 0.0,
        _least_in_flight_selector(model, rng, daemon),
        sample_size=compared,
    )


def compare_concurrency_limits(
    load: ModelParameters,
) -> Iterator[tuple[str, list[float]]]:
    """Yields how requests fare by where concurrency is decided.

    Each request has one owner, as in a service divided by key. At a gateway
    all requests of an upstream share its slots. Lent slots are split over
    the daemons that last asked, and wait there. Random subsets don't exist
    for a request with one owner, so every daemon sends as it likes and the
    upstream's queue takes what comes.
    """
    yield "gateway", _run_concurrency_limit(load, lends_slots=False)
    yield "lent slots", _run_concurrency_limit(load, lends_slots=True)


class SlotLendingModel(QueueingModel):
    """A slot serves only the daemon that holds it, until it asks back."""

    lease_s = 0.05

    def __init__(self, load: ModelParameters):
        super().__init__(load)
        self.holders = [[0] * 3 for _ in range(load.upstream_count)]
        self.lent_at_s = [[-1.0] * 3 for _ in range(load.upstream_count)]
        self.in_use = [[False] * 3 for _ in range(load.upstream_count)]
        self.wake_scheduled = [[False] * 3 for _ in range(load.upstream_count)]

    def _reach_upstream(self, daemon: int, index: int, began_s: float) -> None:
        self.upstreams[index].queue.append((daemon, began_s))
        self._start_queued(index)

    def _start_queued(self, index: int) -> None:
        upstream = self.upstreams[index]
        for slot in range(3):
            if self.in_use[index][slot]:
                continue
            for waiting in upstream.queue:
                daemon, began_s = waiting
                if not self._try_borrow(index, slot, daemon):
                    continue
                upstream.queue.remove(waiting)
                self.in_use[index][slot] = True
                self._use_slot(daemon, index, slot, began_s)
                break

    def _try_borrow(self, index: int, slot: int, daemon: int) -> bool:
        if self.holders[index][slot] == daemon:
            return True
        lapses_s = self.lent_at_s[index][slot] + self.lease_s
        if self.now_s < lapses_s:
            if not self.wake_scheduled[index][slot]:
                self.wake_scheduled[index][slot] = True
                self.schedule(lapses_s, lambda: self._wake(index, slot))
            return False
        self.holders[index][slot] = daemon
        self.lent_at_s[index][slot] = self.now_s
        return True

    def _wake(self, index: int, slot: int) -> None:
        self.wake_scheduled[index][slot] = False
        self._start_queued(index)

    def _use_slot(
        self, daemon: int, index: int, slot: int, began_s: float
    ) -> None:
        slow = self.now_s < self.upstreams[index].slow_until_s
        work_s = MEAN_SERVICE_TIME_S * (0.5 + self.rng.expovariate(2.0))
        work_s *= SLOWDOWN_FACTOR if slow else 1.0

        def end() -> None:
            self.in_use[index][slot] = False
            self._start_queued(index)
            self.schedule(
                self.now_s + HOP_DELAY_S,
                lambda: self._receive_answer(daemon, index, began_s, 0, work_s),
            )

        self.schedule(self.now_s + work_s, end)


def _run_concurrency_limit(
    load: ModelParameters, lends_slots: bool
) -> list[float]:
    model = SlotLendingModel(load) if lends_slots else QueueingModel(load)
    rng = random.Random(load.seed)
    return model.run(lambda daemon: rng.randrange(load.upstream_count))


def _print_row(name: str, latencies_s: list[float], probes: float) -> None:
    figures = [
        percentile_s(latencies_s, share) * 1000 for share in (0.5, 0.99, 0.999)
    ]
    mean_ms = statistics.fmean(latencies_s) * 1000
    print(
        f"| {name} | {mean_ms:.1f} | "
        + " | ".join(f"{figure:.1f}" for figure in figures)
        + f" | {probes:.2f} |"
    )


def main() -> None:
    """Prints the tables of `docs/design/load.md`."""
    parser = argparse.ArgumentParser(prog="bench.load_model")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=40_000)
    parser.add_argument("--compared", type=int, default=6)
    options = parser.parse_args()
    for daemons, upstreams, times in ((11, 20, 1), (640, 120, 4)):
        load = ModelParameters(
            daemons,
            upstreams,
            request_count=options.requests * times,
            seed=options.seed,
        )
        print(f"choice, {daemons} daemons, {upstreams} upstreams")
        print("| way | mean ms | p50 | p99 | p99.9 | probes a request |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, latencies_s, probes in compare_selectors(
            load, options.compared
        ):
            _print_row(name, latencies_s, probes)
    for utilisation in (0.3, 0.5):
        load = ModelParameters(
            11,
            20,
            utilisation,
            slow_share=0.0,
            request_count=options.requests,
            seed=options.seed,
        )
        print(f"place, 11 daemons, utilisation {utilisation}")
        print("| place | mean ms | p50 | p99 | p99.9 | |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, latencies_s in compare_concurrency_limits(load):
            _print_row(name, latencies_s, 0.0)


if __name__ == "__main__":
    main()
