"""Tests callers' requests with real processes.

The tests compare the answers with the runs in the upstreams' journals.
"""

from collections.abc import Iterator
import http.client
import pathlib
import socket
import threading
import time

import pytest

from tests.process import account_fleet


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[account_fleet.AccountFleet]:
    running_fleet = account_fleet.AccountFleet(
        tmp_path_factory.mktemp("accounts")
    )
    yield running_fleet
    running_fleet.close()


@pytest.fixture
def disposable_fleet(
    tmp_path: pathlib.Path,
) -> Iterator[account_fleet.AccountFleet]:
    """Yields a fleet whose daemons the test can kill."""
    running_fleet = account_fleet.AccountFleet(tmp_path)
    yield running_fleet
    running_fleet.close()


def test_a_revoked_key_is_refused_on_an_open_connection(
    fleet: account_fleet.AccountFleet,
) -> None:
    connections = [fleet.connect(daemon) for daemon in fleet.daemons]
    for connection in connections:
        answer = fleet.send(account="doomed", connection=connection)
        assert (answer.status, answer.verdict) == (200, "ran")
    fleet.revoke("doomed")
    for number, connection in enumerate(connections):
        for _ in range(3000):
            answer = fleet.send(account="doomed", connection=connection)
            if answer.status != 200:
                break
        assert (answer.status, answer.reason) == (401, "account-key-revoked")
        marker = f"after-revocation-{number}"
        for _ in range(20):
            fleet.send(account="doomed", marker=marker, connection=connection)
        assert not fleet.upstream_runs(marker)


def test_a_caller_header_cannot_set_the_account(
    fleet: account_fleet.AccountFleet,
) -> None:
    answer = fleet.send(
        account="small",
        marker="poser",
        headers={
            "Sardinehill-Account": "large",
            "Sardinehill_Account": "large",
            "X-Forwarded-User": "large",
            "Proxy-Authorization": "Basic eDp5",
            "Sardinehill-Verdict": "not-run",
        },
    )
    assert answer.verdict == "ran"
    (run,) = fleet.upstream_runs("poser")
    assert run["account"] == "small"
    assert "Authorization" not in run["secrets_seen"]
    assert "Proxy-Authorization" not in run["secrets_seen"]


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/-/grant", 400),
        ("/bookings/../-/release", 400),
        ("/bookings/%2e%2e/-/release", 400),
        ("//-/grant", 400),
        ("/bookings/closed", 403),
        ("/bookings/%63losed", 403),
        ("/elsewhere", 404),
    ],
)
def test_a_path_outside_the_routes_is_refused(
    fleet: account_fleet.AccountFleet, path: str, status: int
) -> None:
    answer = fleet.send(account="small", path=path, marker=f"path-{path}")
    assert (answer.status, answer.verdict) == (status, "not-run")
    assert not fleet.upstream_runs(f"path-{path}")


AMBIGUOUS_FRAMINGS = [
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nhello",
    b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\nhello",
    b"Transfer-Encoding: \x0bchunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n5x\r\nhello\r\n0\r\n\r\n",
    b"Content-Length: +5\r\n\r\nhello",
    b"Authorization: Bearer other\r\nContent-Length: 5\r\n\r\nhello",
    b"Sardinehill-Key: other\r\nContent-Length: 5\r\n\r\nhello",
    b"X-One: a\r\n Sardinehill-Key: b\r\nContent-Length: 5\r\n\r\nhello",
]


@pytest.mark.parametrize("number", range(len(AMBIGUOUS_FRAMINGS)))
def test_an_ambiguous_request_is_not_run(
    fleet: account_fleet.AccountFleet, number: int
) -> None:
    marker = f"smuggled-{number}"
    head = (
        f"POST /bookings?marker={marker} HTTP/1.1\r\nHost: callers\r\n"
        f"Authorization: Bearer {fleet.account_keys['large']}\r\n"
        "Sardinehill-Key: table-1\r\n"
    ).encode()
    with socket.create_connection(
        fleet.caller_addresses["entry-1"], 30
    ) as connection:
        connection.sendall(head + AMBIGUOUS_FRAMINGS[number])
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65536):
            pass
    assert not fleet.upstream_runs(marker)


def test_a_truncated_body_is_not_run(
    fleet: account_fleet.AccountFleet,
) -> None:
    head = (
        "POST /bookings?marker=cut-body HTTP/1.1\r\nHost: callers\r\n"
        f"Authorization: Bearer {fleet.account_keys['large']}\r\n"
        "Sardinehill-Key: table-1\r\nContent-Length: 100\r\n\r\n"
    ).encode()
    with socket.create_connection(
        fleet.caller_addresses["entry-1"], 30
    ) as connection:
        connection.sendall(head + b"half")
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65536):
            pass
    assert not fleet.upstream_runs("cut-body")


def test_a_body_over_the_limit_is_refused_before_it_is_read(
    fleet: account_fleet.AccountFleet,
) -> None:
    connection = fleet.connect("entry-1")
    connection.putrequest("POST", "/bookings?marker=huge")
    connection.putheader(
        "Authorization", f"Bearer {fleet.account_keys['large']}"
    )
    connection.putheader("Sardinehill-Key", "table-1")
    connection.putheader("Content-Length", str(1 << 40))
    connection.endheaders()
    reply = connection.getresponse()
    assert reply.status == 413
    assert reply.headers["Sardinehill-Verdict"] == "not-run"
    connection.close()


def test_eight_concurrent_submissions_run_once(
    fleet: account_fleet.AccountFleet,
) -> None:
    for number in range(5):
        marker = f"together-{number}"
        headers = {"Idempotency-Key": account_fleet.time_ordered_id()}
        answers = fleet.send_concurrently(
            [
                {
                    "daemon": daemon,
                    "marker": marker,
                    "headers": headers,
                    "path": "/bookings?service_time_ms=30",
                }
                for daemon in list(fleet.daemons) * 4
            ]
        )
        assert {answer.verdict for answer in answers} == {"ran"}
        assert len({answer.body for answer in answers}) == 1
        assert len(fleet.upstream_runs(marker)) == 1


def test_concurrent_submissions_to_an_undivided_service_run_once(
    fleet: account_fleet.AccountFleet,
) -> None:
    for number in range(5):
        marker = f"deposit-{number}"
        submission = {
            "path": "/invoices?service_time_ms=30",
            "marker": marker,
            "key": "",
        }
        for _ in range(200):
            headers = {"Idempotency-Key": account_fleet.time_ordered_id()}
            answers = fleet.send_concurrently(
                [
                    {**submission, "daemon": daemon, "headers": headers}
                    for daemon in list(fleet.daemons) * 3
                ]
            )
            verdicts = {answer.verdict for answer in answers}
            assert len(fleet.upstream_runs(marker)) <= 1
            if verdicts == {"ran"}:
                break
        assert verdicts == {"ran"}
        assert len(fleet.upstream_runs(marker)) == 1


def test_a_reused_id_with_a_different_request_is_not_run(
    fleet: account_fleet.AccountFleet,
) -> None:
    headers = {"Idempotency-Key": account_fleet.time_ordered_id()}
    assert fleet.send(headers=headers, marker="first-use").verdict == "ran"
    answer = fleet.send(headers=headers, marker="second-use", body=b"other")
    assert (answer.status, answer.verdict) == (400, "not-run")
    assert not fleet.upstream_runs("second-use")


CONNECTION_FAULTS = [
    {"reset_after_to_target_bytes": 0},
    {"reset_after_to_target_bytes": 40},
    {"reset_after_to_target_bytes": 350},
    {"reset_after_to_client_bytes": 0},
    {"reset_after_to_client_bytes": 20},
    {"reset_after_to_client_bytes": 250},
    {"refuse": True},
]
NO_FAULTS = {
    "reset_after_to_target_bytes": -1,
    "reset_after_to_client_bytes": -1,
    "refuse": False,
}


@pytest.mark.parametrize("number", range(len(CONNECTION_FAULTS)))
def test_a_connection_reset_gives_a_truthful_verdict(
    fault_fleet: account_fleet.AccountFleet, number: int
) -> None:
    fleet = fault_fleet
    submissions = []
    fleet.set_faults(
        reset_all=True, **{**NO_FAULTS, **CONNECTION_FAULTS[number]}
    )
    for attempt in range(3):
        marker = f"reset-{number}-{attempt}"
        headers = {"Idempotency-Key": account_fleet.time_ordered_id()}
        headers["Sardinehill-Deadline-Ms"] = "700"
        answer = fleet.send(marker=marker, headers=headers)
        submissions.append((marker, headers, answer))
    fleet.set_faults(reset_all=True, **NO_FAULTS)
    fleet.wait_until_serving()
    for marker, headers, answer in submissions:
        runs = len(fleet.upstream_runs(marker))
        assert runs <= 1
        if answer.verdict == "not-run":
            assert runs == 0
        if answer.verdict == "ran":
            assert runs == 1
        repeated = fleet.send("entry-2", marker=marker, headers=headers)
        assert len(fleet.upstream_runs(marker)) <= 1
        if repeated.verdict == "ran":
            assert len(fleet.upstream_runs(marker)) == 1


@pytest.fixture(scope="module")
def fault_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[account_fleet.AccountFleet]:
    running_fleet = account_fleet.AccountFleet(
        tmp_path_factory.mktemp("resets")
    )
    yield running_fleet
    running_fleet.close()


@pytest.mark.parametrize("killed", ["entry-1", "entry-2"])
def test_a_daemon_killed_during_a_request_causes_no_duplicate_run(
    disposable_fleet: account_fleet.AccountFleet, killed: str
) -> None:
    fleet = disposable_fleet
    submissions = [
        {
            "daemon": daemon,
            "marker": f"killed-{daemon}-{number}",
            "headers": {"Idempotency-Key": account_fleet.time_ordered_id()},
            "path": "/bookings?service_time_ms=400",
            "key": f"table-{number}",
        }
        for daemon in fleet.daemons
        for number in range(4)
    ]
    timer = threading.Timer(0.2, fleet.daemons[killed].kill)
    timer.start()
    answers = fleet.send_concurrently(submissions)
    timer.join()
    (survivor,) = set(fleet.daemons) - {killed}
    repeats = [{**submission, "daemon": survivor} for submission in submissions]
    repeated_answers = fleet.send_concurrently(repeats)
    for submission, first, second in zip(
        submissions, answers, repeated_answers, strict=True
    ):
        runs = len(fleet.upstream_runs(str(submission["marker"])))
        assert runs <= 1
        # A verdict only applies to its own submission, so a refusal of the
        # second one says nothing about the first.
        if first.verdict == "not-run" and second.verdict == "not-run":
            assert runs == 0
        if "ran" in (first.verdict, second.verdict):
            assert runs == 1


def test_an_account_gets_no_more_than_its_rate_and_burst_from_two_daemons(
    fleet: account_fleet.AccountFleet,
) -> None:
    started_s = time.monotonic()
    answers = []
    for _ in range(12):
        answers += fleet.send_concurrently(
            [
                {"daemon": daemon, "account": "small", "marker": "rate"}
                for daemon in list(fleet.daemons) * 8
            ]
        )
    window_s = time.monotonic() - started_s
    ran = len(fleet.upstream_runs("rate"))
    assert ran == sum(answer.verdict == "ran" for answer in answers)
    assert 0 < ran <= 20 + 20 * window_s
    refused = [answer for answer in answers if answer.verdict != "ran"]
    assert {answer.reason for answer in refused} == {"over-rate"}
    assert {answer.status for answer in refused} == {429}


def test_a_stopping_daemon_completes_requests_in_flight(
    disposable_fleet: account_fleet.AccountFleet,
) -> None:
    fleet = disposable_fleet
    timer = threading.Timer(0.1, fleet.daemons["entry-1"].terminate)
    timer.start()
    answers = fleet.send_concurrently(
        [
            {
                "daemon": "entry-1",
                "path": "/bookings?service_time_ms=400",
                "marker": f"stopped-{number}",
            }
            for number in range(8)
        ]
    )
    timer.join()
    assert {answer.verdict for answer in answers} == {"ran"}


def test_a_refusal_is_a_problem_document(
    fleet: account_fleet.AccountFleet,
) -> None:
    connection = http.client.HTTPConnection(
        *fleet.caller_addresses["entry-1"], timeout=30
    )
    connection.request("GET", "/bookings")
    reply = connection.getresponse()
    assert reply.status == 401
    assert reply.headers["Content-Type"].startswith("application/problem+json")
    assert reply.headers["Sardinehill-Reason"] == "account-key-missing"
    assert reply.headers["WWW-Authenticate"] == "Bearer"
    connection.close()
