"""Tests of parsing and validating of host files and fleet files."""

import contextlib

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinehill import errors
from sardinehill import settings
from sardinehill.core import fleet

HOST_TEXT = """
[host]
name = entry-1
availability_zone = pa-1
region = sicilia
[addresses]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
peers = 127.0.0.1:8082
[platform]
url = http://127.0.0.1:9000
account_key_secret = a-secret-of-some-length
[peers]
bootstrap = 127.0.0.1:8083, 127.0.0.1:8084
secrets = new-secret-of-peers, old-secret-of-peers
"""

FLEET_TEXT = """
[fleet]
availability_zones = pa-1, pa-2
[service prenota]
divided_by_key = yes
depends_on = conti
[service conti]
divided_by_key = no
checks_fencing = no
hedge = yes
[route bookings]
path_prefix = /bookings
service = prenota
[route invoices]
path_prefix = /invoices
service = conti
open_to_all_callers = no
accounts = hotel-1
[account hotel-1]
rate_per_s = 50
burst_requests = 100
"""


def fleet_text_problems(text: str) -> set[tuple[str, str]]:
    with pytest.raises(errors.SettingsErrors) as raised:
        settings.read_fleet_config(text, "fleet.ini", 1)
    problems = [error.problem for error in raised.value.exceptions]
    assert all(problem.expected for problem in problems)
    return {(problem.section, problem.option) for problem in problems}


def test_host_file_is_parsed_completely():
    host = settings.read_host_settings(HOST_TEXT, "host.ini")
    assert host.name == "entry-1"
    assert host.callers_address == fleet.Address("127.0.0.1", 8080)
    assert host.bootstrap_peers[1] == fleet.Address("127.0.0.1", 8084)
    assert host.peer_secrets[0] == "new-secret-of-peers"
    assert host.body_limit_bytes == 8 * 1024 * 1024


def test_fleet_file_is_parsed_completely():
    config = settings.read_fleet_config(FLEET_TEXT, "fleet.ini", 7)
    assert config.version == 7
    assert config.availability_zones == ("pa-1", "pa-2")
    assert config.services["prenota"].depends_on == ("conti",)
    assert not config.services["conti"].checks_fencing
    assert config.routes["invoices"].accounts == ("hotel-1",)
    assert config.accounts["hotel-1"].rate_per_s == 50


def test_all_mistakes_are_reported_together():
    text = FLEET_TEXT.replace("divided_by_key = no", "divided_by_key = maybe")
    text = text.replace("rate_per_s = 50", "rate_per_s = nan")
    text = text.replace("service = prenota", "service = penota")
    text += "colour = red\n[unknown]\n[service conti]\nslots = 4\nbroken\n"
    assert fleet_text_problems(text) == {
        ("service conti", "divided_by_key"),
        ("account hotel-1", "rate_per_s"),
        ("account hotel-1", "colour"),
        ("route bookings", "service"),
        ("unknown", ""),
        ("service conti", ""),
        ("service conti", ""),
    }


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("pa-1, pa-2", "pa-1, pa-1", ("fleet", "availability_zones")),
        ("pa-1, pa-2", "", ("fleet", "availability_zones")),
        (
            "divided_by_key = no",
            "divided_by_key = no\ndepends_on = prenota",
            ("service conti", "depends_on"),
        ),
        (
            "depends_on = conti",
            "depends_on = storia",
            ("service prenota", "depends_on"),
        ),
        (
            "depends_on = conti",
            "cold_start_requests = 4",
            ("service prenota", "cold_start_requests"),
        ),
        ("depends_on = conti", "hedge = yes", ("service prenota", "hedge")),
        ("/invoices", "/bookings", ("route invoices", "path_prefix")),
        ("/invoices", "/-/x", ("route invoices", "path_prefix")),
        ("accounts = hotel-1", "", ("route invoices", "accounts")),
        ("= hotel-1", "= hotel-9", ("route invoices", "accounts")),
        ("[route bookings]", "[route B]", ("route B", "")),
        (
            "burst_requests = 100",
            "burst_requests = 1\nburst_requests = 2",
            ("account hotel-1", "burst_requests"),
        ),
    ],
)
def test_mistake_is_reported_with_section_and_option(old, new, place):
    assert place in fleet_text_problems(FLEET_TEXT.replace(old, new))


def test_oversized_text_is_refused_before_parsing():
    text = FLEET_TEXT + "#" * settings.MAX_FLEET_TEXT_BYTES
    assert fleet_text_problems(text) == {("fleet", "")}


def test_errors_never_contain_secrets():
    text = HOST_TEXT.replace("a-secret-of-some-length", "hush")
    text = text.replace("new-secret-of-peers", "hush")
    text += "secrets = hush-doubled\n"
    with pytest.raises(errors.SettingsErrors) as raised:
        settings.read_host_settings(text, "host.ini")
    messages = str(raised.value) + "".join(map(str, raised.value.exceptions))
    assert len(raised.value.exceptions) == 3
    assert "hush" not in messages


def test_shard_count_of_existing_service_cannot_change():
    old = settings.read_fleet_config(FLEET_TEXT, "fleet.ini", 1)
    text = FLEET_TEXT.replace(
        "depends_on = conti", "depends_on = conti\nshard_count = 64"
    )
    new = settings.read_fleet_config(text, "fleet.ini", 2)
    (problem,) = settings.find_forbidden_changes(old, new, "fleet.ini")
    assert (problem.section, problem.option) == (
        "service prenota",
        "shard_count",
    )
    assert settings.find_forbidden_changes(old, old, "fleet.ini") == []


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    st.lists(
        st.one_of(
            st.sampled_from([*FLEET_TEXT.splitlines(), "x", "[", "[]", " a"]),
            st.text(max_size=12),
        ),
        max_size=30,
    )
)
def test_any_text_is_parsed_or_raises_settings_errors(lines):
    with contextlib.suppress(errors.SettingsErrors):
        settings.read_fleet_config("\n".join(lines), "fleet.ini", 1)
