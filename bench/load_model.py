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

HOP_S = 0.001
SERVICE_S = 0.005
SLOWDOWN = 10.0
SLOW_MOMENT_S = 0.5


@dataclasses.dataclass
class Upstream:
    """One upstream of the model: slots and one queue, first come first."""

    slots: int
    slow_until_s: float = 0.0
    busy: int = 0
    waiting: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def held(self) -> int:
        """Returns requests in service and waiting."""
        return self.busy + len(self.waiting)


@dataclasses.dataclass(frozen=True)
class Load:
    """What is asked of the model.

    Attributes:
      daemons: entry daemons, each choosing by itself.
      upstreams: upstreams of the one service.
      utilisation: offered load over capacity.
      slow_share: share of the upstreams that is slow at any moment.
      requests: requests to simulate.
      seed: of all random numbers.
    """

    daemons: int
    upstreams: int
    utilisation: float = 0.5
    slow_share: float = 0.25
    requests: int = 40_000
    seed: int = 1


class Model:
    """One run: arrivals, choices and answers in order of time."""

    def __init__(self, load: Load, slots: int = 3):
        self.load = load
        self.rng = random.Random(load.seed)
        self.now_s = 0.0
        self.upstreams = [Upstream(slots) for _ in range(load.upstreams)]
        self.names = [str(index) for index in range(load.upstreams)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.latencies_s: list[float] = []

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Does something later."""
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def run(self, choose: Callable[[int], int]) -> list[float]:
        """Runs the load; `choose` maps a daemon to an upstream's index."""
        rate_per_s = self.load.upstreams * 3 / SERVICE_S * self.load.utilisation
        time_s = 0.0
        for _ in range(self.load.requests):
            time_s += self.rng.expovariate(rate_per_s)
            daemon = self.rng.randrange(self.load.daemons)
            self.at(time_s, lambda daemon=daemon: self._arrive(daemon, choose))
        self._slow_some()
        while self._events and len(self.latencies_s) < self.load.requests:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.latencies_s

    def _slow_some(self) -> None:
        slow = int(self.load.upstreams * self.load.slow_share)
        for index in self.rng.sample(range(self.load.upstreams), slow):
            self.upstreams[index].slow_until_s = self.now_s + SLOW_MOMENT_S
        self.at(self.now_s + SLOW_MOMENT_S, self._slow_some)

    def _arrive(self, daemon: int, choose: Callable[[int], int]) -> None:
        index = choose(daemon)
        began_s = self.now_s
        self.sent(daemon, index)
        self.at(
            self.now_s + HOP_S,
            lambda: self._reach(daemon, index, began_s),
        )

    def _reach(self, daemon: int, index: int, began_s: float) -> None:
        upstream = self.upstreams[index]
        if upstream.busy < upstream.slots:
            self._begin(daemon, index, began_s)
        else:
            upstream.waiting.append((daemon, began_s))

    def _begin(self, daemon: int, index: int, began_s: float) -> None:
        upstream = self.upstreams[index]
        upstream.busy += 1
        slow = self.now_s < upstream.slow_until_s
        work_s = SERVICE_S * (0.5 + self.rng.expovariate(2.0))
        work_s *= SLOWDOWN if slow else 1.0
        self.at(
            self.now_s + work_s,
            lambda: self._end(daemon, index, began_s, work_s),
        )

    def _end(
        self, daemon: int, index: int, began_s: float, work_s: float
    ) -> None:
        upstream = self.upstreams[index]
        upstream.busy -= 1
        if upstream.waiting:
            next_daemon, next_began_s = upstream.waiting.popleft()
            self._begin(next_daemon, index, next_began_s)
        held = upstream.held()
        self.at(
            self.now_s + HOP_S,
            lambda: self._answer(daemon, index, began_s, held, work_s),
        )

    def _answer(
        self,
        daemon: int,
        index: int,
        began_s: float,
        held: int,
        work_s: float,
    ) -> None:
        self.latencies_s.append(self.now_s - began_s)
        self.answered(daemon, index, held, work_s)

    def sent(self, daemon: int, index: int) -> None:
        """Called with each request; a way of choosing may keep count."""

    def answered(
        self, daemon: int, index: int, held: int, work_s: float
    ) -> None:
        """Called with each answer, and what the gateway says with it."""


class CountingModel(Model):
    """Each daemon knows its own requests in flight."""

    def __init__(self, load: Load):
        super().__init__(load)
        self.in_flight = [[0] * load.upstreams for _ in range(load.daemons)]

    def sent(self, daemon: int, index: int) -> None:
        """Counts a request."""
        self.in_flight[daemon][index] += 1

    def answered(
        self, daemon: int, index: int, held: int, work_s: float
    ) -> None:
        """Counts an answer."""
        self.in_flight[daemon][index] -= 1


class ReportingModel(CountingModel):
    """Each answer carries the gateway's report; some probes are sent."""

    def __init__(self, load: Load, uses: int, probe_share: float):
        super().__init__(load)
        self.pools = [
            upstream_selection.LoadReportPool(
                uses_per_report=uses, max_age_s=0.5
            )
            for _ in range(load.daemons)
        ]
        self.probe_share = probe_share
        self.probes = 0

    def sent(self, daemon: int, index: int) -> None:
        """Counts a request, and probes an upstream now and then."""
        super().sent(daemon, index)
        if self.rng.random() >= self.probe_share:
            return
        drawn = self.rng.sample(self.names, 2)
        unknown = self.pools[daemon].without_report(drawn, self.now_s)
        self._probe(daemon, int((unknown or drawn)[0]))

    def answered(
        self, daemon: int, index: int, held: int, work_s: float
    ) -> None:
        """Takes in the report that came with an answer."""
        super().answered(daemon, index, held, work_s)
        self._add(daemon, index, held)

    def _probe(self, daemon: int, index: int) -> None:
        self.probes += 1

        def look() -> None:
            held = self.upstreams[index].held()
            self.at(self.now_s + HOP_S, lambda: self._add(daemon, index, held))

        self.at(self.now_s + HOP_S, look)

    def _add(self, daemon: int, index: int, held: int) -> None:
        # The gateway knows its upstream's latency of late from all requests.
        slow = self.now_s < self.upstreams[index].slow_until_s
        latency_s = SERVICE_S * (SLOWDOWN if slow else 1.0)
        self.pools[daemon].add(
            self.names[index], held, latency_s, 3, self.now_s
        )


def percentile_s(latencies_s: list[float], share: float) -> float:
    """Returns the latency under which a share of the requests stays."""
    ordered = sorted(latencies_s)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compare_choices(
    load: Load, compared: int = 6
) -> Iterator[tuple[str, list[float], float]]:
    """Yields each way's name, latencies and probes for each request."""
    model: Model = Model(load)
    rng = random.Random(load.seed)
    drawn = upstream_selection.random_choice(rng)
    yield (
        "random",
        model.run(lambda daemon, model=model: int(drawn(model.names))),
        0.0,
    )
    model = Model(load)
    turns = [upstream_selection.round_robin() for _ in range(load.daemons)]
    yield (
        "round robin",
        model.run(lambda daemon, model=model: int(turns[daemon](model.names))),
        0.0,
    )
    counting = CountingModel(load)
    choosers = [_least(counting, rng, d) for d in range(load.daemons)]
    yield (
        "least in flight of two",
        counting.run(lambda daemon: int(choosers[daemon](counting.names))),
        0.0,
    )
    for uses in (1, 4, 16):
        reporting = ReportingModel(load, uses, probe_share=0.2)
        choosers = [
            _reports(reporting, rng, d, compared) for d in range(load.daemons)
        ]
        latencies_s = reporting.run(
            lambda daemon, choosers=choosers, model=reporting: int(
                choosers[daemon](model.names)
            )
        )
        name = f"reports, {uses} uses"
        yield name, latencies_s, reporting.probes / load.requests


def _least(
    model: CountingModel, rng: random.Random, daemon: int
) -> upstream_selection.Selector:
    in_flight = model.in_flight[daemon]
    return upstream_selection.power_of_two_choices(
        rng, lambda name: in_flight[int(name)]
    )


def _reports(
    model: ReportingModel, rng: random.Random, daemon: int, compared: int
) -> upstream_selection.Selector:
    return upstream_selection.least_expected_latency(
        rng,
        model.pools[daemon],
        lambda: model.now_s,
        lambda name: 0.0,
        _least(model, rng, daemon),
        sample_size=compared,
    )


def compare_places(load: Load) -> Iterator[tuple[str, list[float]]]:
    """Yields how requests fare by where concurrency is decided.

    Each request has one owner, as in a service divided by key. At a gateway
    all requests of an upstream share its slots. Lent slots are split over
    the daemons that last asked, and wait there. Random subsets don't exist
    for a request with one owner, so every daemon sends as it likes and the
    upstream's queue takes what comes.
    """
    yield "gateway", _run_place(load, lent=False)
    yield "lent slots", _run_place(load, lent=True)


class LendingModel(Model):
    """A slot serves only the daemon that holds it, until it asks back."""

    lease_s = 0.05

    def __init__(self, load: Load):
        super().__init__(load)
        self.holders = [[0] * 3 for _ in range(load.upstreams)]
        self.lent_s = [[-1.0] * 3 for _ in range(load.upstreams)]
        self.in_use = [[False] * 3 for _ in range(load.upstreams)]
        self.woken = [[False] * 3 for _ in range(load.upstreams)]

    def _reach(self, daemon: int, index: int, began_s: float) -> None:
        self.upstreams[index].waiting.append((daemon, began_s))
        self._serve(index)

    def _serve(self, index: int) -> None:
        upstream = self.upstreams[index]
        for slot in range(3):
            if self.in_use[index][slot]:
                continue
            for waiting in upstream.waiting:
                daemon, began_s = waiting
                if not self._may_use(index, slot, daemon):
                    continue
                upstream.waiting.remove(waiting)
                self.in_use[index][slot] = True
                self._work(daemon, index, slot, began_s)
                break

    def _may_use(self, index: int, slot: int, daemon: int) -> bool:
        if self.holders[index][slot] == daemon:
            return True
        lapses_s = self.lent_s[index][slot] + self.lease_s
        if self.now_s < lapses_s:
            if not self.woken[index][slot]:
                self.woken[index][slot] = True
                self.at(lapses_s, lambda: self._wake(index, slot))
            return False
        self.holders[index][slot] = daemon
        self.lent_s[index][slot] = self.now_s
        return True

    def _wake(self, index: int, slot: int) -> None:
        self.woken[index][slot] = False
        self._serve(index)

    def _work(self, daemon: int, index: int, slot: int, began_s: float) -> None:
        slow = self.now_s < self.upstreams[index].slow_until_s
        work_s = SERVICE_S * (0.5 + self.rng.expovariate(2.0))
        work_s *= SLOWDOWN if slow else 1.0

        def end() -> None:
            self.in_use[index][slot] = False
            self._serve(index)
            self.at(
                self.now_s + HOP_S,
                lambda: self._answer(daemon, index, began_s, 0, work_s),
            )

        self.at(self.now_s + work_s, end)


def _run_place(load: Load, lent: bool) -> list[float]:
    model = LendingModel(load) if lent else Model(load)
    rng = random.Random(load.seed)
    return model.run(lambda daemon: rng.randrange(load.upstreams))


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
        load = Load(
            daemons,
            upstreams,
            requests=options.requests * times,
            seed=options.seed,
        )
        print(f"choice, {daemons} daemons, {upstreams} upstreams")
        print("| way | mean ms | p50 | p99 | p99.9 | probes a request |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, latencies_s, probes in compare_choices(
            load, options.compared
        ):
            _print_row(name, latencies_s, probes)
    for utilisation in (0.3, 0.5):
        load = Load(
            11,
            20,
            utilisation,
            slow_share=0.0,
            requests=options.requests,
            seed=options.seed,
        )
        print(f"place, 11 daemons, utilisation {utilisation}")
        print("| place | mean ms | p50 | p99 | p99.9 | |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, latencies_s in compare_places(load):
            _print_row(name, latencies_s, 0.0)


if __name__ == "__main__":
    main()
