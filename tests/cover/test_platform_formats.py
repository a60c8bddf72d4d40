"""Claims about the translation of the platform's formats."""

import pytest

from sardinehill import errors
from sardinehill import http1
from sardinehill.core import routes
from sardinehill.platform import documents
from sardinehill.platform import exchanges
from sardinehill.platform import settings

SETTINGS = """nodeName=front-pa-1-1
ip=10.1.0.5
zone=pa-1
listen.front=10.1.0.5:8405
listen.ready=10.1.0.5:8406
internalPorts=7660,7675
platformApi.address=10.200.1.7:8408
bounds.retrySlack=58
anything.new=1
"""


def entry(**changes):
    document = {
        "metadata": {"name": "i-1", "revision": 4},
        "spec": {
            "address": "10.128.0.9:8080",
            "born": 1700000000000,
            "info": {"service": "s", "zone": "pa-1", "slots": 3},
        },
        "status": {"state": "ready", "seqNo": 4, "coldLeftS": 1.5},
    }
    document.update(changes)
    return document


def config(**changes):
    spec = {
        "version": "r7",
        "services": [
            {"name": "s", "healthPath": "/h", "maxConns": 5, "sharded": True}
        ],
        "tenants": [{"name": "t", "apiKeys": ["k"], "ratePerS": 5, "burst": 6}],
        "virtualHosts": [
            {
                "host": "A.example",
                "pathRoutes": [
                    {
                        "name": "short",
                        "pathPrefix": "/a/",
                        "kind": "idempotent",
                        "timeoutS": 1.5,
                        "service": "s",
                    },
                    {
                        "name": "long",
                        "pathPrefix": "/a/b/",
                        "kind": "non_idempotent",
                        "timeoutS": 1,
                        "trafficSplit": [
                            {"service": "s", "weight": 90},
                            {"service": "u", "weight": 10},
                        ],
                        "authExempt": True,
                    },
                ],
            }
        ],
    }
    spec.update(changes)
    return {"metadata": {"name": "main", "revision": 3}, "spec": spec}


def test_settings_are_read_and_unknown_fields_ignored():
    found = settings.parse("boot.conf", SETTINGS)
    assert found.daemon == "front-pa-1-1"
    assert (found.peer_port, found.metrics_port) == (7660, 7675)
    assert found.retry_slack == 58.0


def test_every_mistake_in_the_settings_is_named():
    text = SETTINGS.replace("10.1.0.5:8405", "nowhere").replace(
        "7660,7675", "7"
    )
    with pytest.raises(errors.SettingsErrors) as caught:
        settings.parse("boot.conf", text + "bounds.drainTimeoutS=soon\n")
    told = " ".join(str(one) for one in caught.value.exceptions)
    for word in ("boot.conf", "nowhere", "internalPorts", "'soon'"):
        assert word in told


def test_the_metrics_port_can_be_set_and_is_checked(monkeypatch):
    monkeypatch.setenv(settings.METRICS_PORT_VARIABLE, "9464")
    assert settings.parse("boot.conf", SETTINGS).metrics_port == 9464
    monkeypatch.setenv(settings.METRICS_PORT_VARIABLE, "many")
    with pytest.raises(errors.SettingsErrors):
        settings.parse("boot.conf", SETTINGS)


def test_the_longest_prefix_of_the_host_wins():
    found = documents.configuration(config())
    assert found.version == 7
    named = {
        path: routes.find_route(found, b"a.EXAMPLE:80", path)
        for path in (b"/a/x", b"/a/b/x?q=/", b"/a", b"/c/")
    }
    assert named[b"/a/x"].name == "short"
    assert named[b"/a/b/x?q=/"].name == "long"
    assert named[b"/a"] is None
    assert named[b"/c/"] is None
    assert routes.find_route(found, b"b.example", b"/a/x") is None


def test_kinds_and_keys_of_a_config_are_understood():
    found = documents.configuration(config())
    short = routes.find_route(found, b"a.example", b"/a/x")
    long = routes.find_route(found, b"a.example", b"/a/b/")
    assert short.is_idempotent
    assert not long.is_idempotent
    assert short.needs_account
    assert not long.needs_account
    assert found.accounts[b"k"].rate_per_s == 5
    assert "k" not in repr(found)


def test_without_client_accounts_no_key_is_asked_for():
    found = documents.configuration(config(tenants=[]))
    assert not routes.find_route(found, b"a.example", b"/a/x").needs_account


def test_a_split_route_is_divided_by_weight():
    found = documents.configuration(config())
    route = routes.find_route(found, b"a.example", b"/a/b/")
    splitter = routes.Splitter()
    chosen = [splitter.choose(route) for _ in range(100)]
    assert 89 <= chosen.count("s") <= 91


@pytest.mark.parametrize(
    "broken",
    [
        {"version": "7"},
        {"version": None},
        {"virtualHosts": 5},
        {"virtualHosts": [{"host": "h", "pathRoutes": [{"name": "x"}]}]},
        {"services": [{"name": "s"}]},
    ],
)
def test_a_broken_config_is_refused_whole(broken):
    with pytest.raises(documents.MalformedDocumentError):
        documents.configuration(config(**broken))


def test_an_upstreams_entry_is_read():
    found = documents.upstream("i-1", entry())
    assert found.life == ("i-1", 1700000000000)
    assert found.cold_left_s == 1.5
    assert not found.is_draining


@pytest.mark.parametrize(
    "broken",
    [
        {"spec": None},
        {"spec": {"address": 5}},
        {"spec": {"address": "host:port", "info": {}}},
        {"status": {"state": "odd"}},
        {"status": None},
    ],
)
def test_an_entry_of_another_writer_names_no_upstream(broken):
    with pytest.raises(documents.MalformedDocumentError):
        documents.upstream("i-1", entry(**broken))


def answer(status=200, **headers):
    named = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return http1.Answer(status, named, b"")


def test_only_an_upstreams_own_word_says_that_nothing_ran():
    assert exchanges.says_not_run(answer(503, x_not_executed="1"))
    assert exchanges.says_not_run(answer(421))
    assert not exchanges.says_not_run(answer(503))


def test_an_answer_with_another_encoding_is_not_the_upstreams():
    assert exchanges.is_genuine(answer(x_response_stamp="s"))
    assert not exchanges.is_genuine(
        answer(x_response_stamp="s", content_encoding="gzip")
    )
    assert not exchanges.is_genuine(answer())


def test_a_load_header_is_read_with_and_without_the_machines_state():
    assert exchanges.load_of(answer(x_server_load="3,1,8")).waiting == 1
    assert exchanges.load_of(answer(x_server_load="3,1,8,250")).slowness == 2.5
    assert exchanges.load_of(answer(x_server_load="many")) is None


def test_headers_of_the_connection_and_secrets_are_not_forwarded():
    headers = [
        (b"host", b"h"),
        (b"connection", b"close, x-private"),
        (b"x-private", b"1"),
        (b"x-credential", b"secret"),
        (b"x-tenant-id", b"forged"),
        (b"x-shard-key", b"9"),
        (b"x-request-id", b"r"),
    ]
    sent = exchanges.forwarded_headers(headers)
    assert sent == b"host: h\r\nx-shard-key: 9\r\nx-request-id: r\r\n"
