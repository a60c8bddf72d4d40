"""Tests of what a restored store takes back from a view."""

import pytest

from sardinehill.core import store_versions
from sardinehill.front import store_view
from sardinehill.platform import names
from sardinehill.platform import store as store_module

GRACE_S = store_view.LAPSED_ENTRY_GRACE_S
ZONE = "zone-1"


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class Fixture:
    """A view whose lists the test reads, as of an era and a revision."""

    def __init__(self):
        self.clock = Clock()
        self.view = store_view.StoreView(self.clock, lambda: None)
        self.era = 1
        self.revision = 100
        self.lists = {watched.kind: {} for watched in self.view.kinds}
        self.read()

    def restore(self):
        self.era += 1
        self.revision -= 50

    def read(self):
        self.revision += 1
        version = store_versions.StoreVersion(self.era, self.revision)
        for watched in self.view.kinds:
            objects = [
                store_module.StoredObject(
                    watched.kind, name, self.revision, None, document
                )
                for name, document in self.lists[watched.kind].items()
            ]
            self.view.apply_list(
                watched, objects, version, asked_s=self.clock.now_s
            )

    def wait(self, seconds):
        self.clock.now_s += seconds
        self.view.remove_expired()

    def list_upstream(self, number, state="ready", born=5):
        self.lists[names.UPSTREAMS_KIND]["i-1"] = {
            "spec": {
                "address": "127.0.0.1:80",
                "born": born,
                "info": {"service": "orders", "zone": ZONE, "slots": 3},
            },
            "status": {"state": state, "seqNo": number, "coldLeftS": 0},
        }

    def list_config(self, version):
        self.lists[names.CONFIG_KIND][names.CONFIG_NAME] = {
            "spec": {"version": version, "virtualHosts": [], "services": []}
        }


@pytest.fixture
def fixture():
    return Fixture()


def test_upstream_that_had_left_is_not_used_after_a_restore(fixture):
    fixture.list_upstream(4)
    fixture.read()
    fixture.lists[names.UPSTREAMS_KIND].clear()
    fixture.read()
    assert fixture.view.upstreams == {}
    fixture.restore()
    fixture.list_upstream(3)
    fixture.read()
    assert fixture.view.upstreams == {}


@pytest.mark.parametrize(("number", "born"), [(5, 5), (1, 6), (1, 4)])
def test_upstream_that_is_back_after_a_restore_is_used(fixture, number, born):
    fixture.list_upstream(4)
    fixture.read()
    fixture.lists[names.UPSTREAMS_KIND].clear()
    fixture.read()
    fixture.restore()
    fixture.list_upstream(number, born=born)
    fixture.read()
    assert set(fixture.view.upstreams) == {"i-1"}


def test_draining_upstream_is_not_ready_again_after_a_restore(fixture):
    fixture.list_upstream(4, state="draining")
    fixture.read()
    fixture.restore()
    fixture.list_upstream(3, state="ready")
    fixture.read()
    assert fixture.view.upstreams["i-1"].is_draining


def started_daemons_upstreams(fixture):
    """Returns the upstreams of a daemon that starts from a view's documents."""
    started = store_view.StoreView(fixture.clock, lambda: None)
    for watched, known in zip(started.kinds, fixture.view.kinds, strict=True):
        started.replace_documents(watched, known.documents, known.version)
    return started.upstreams


def test_daemon_that_starts_does_not_get_an_upstream_that_had_left(fixture):
    fixture.list_upstream(4)
    fixture.read()
    fixture.lists[names.UPSTREAMS_KIND].clear()
    fixture.read()
    fixture.restore()
    fixture.list_upstream(3)
    fixture.read()
    assert started_daemons_upstreams(fixture) == {}
    fixture.list_upstream(5)
    fixture.read()
    assert set(started_daemons_upstreams(fixture)) == {"i-1"}


def test_daemon_that_starts_knows_that_an_upstream_drains(fixture):
    fixture.list_upstream(4, state="draining")
    fixture.read()
    fixture.restore()
    fixture.list_upstream(3, state="ready")
    fixture.read()
    assert started_daemons_upstreams(fixture)["i-1"].is_draining


def test_upstream_that_a_restored_store_has_lost_is_kept_for_a_grace(fixture):
    fixture.list_upstream(1)
    fixture.read()
    fixture.restore()
    fixture.lists[names.UPSTREAMS_KIND].clear()
    fixture.read()
    fixture.wait(GRACE_S - 0.1)
    assert set(fixture.view.upstreams) == {"i-1"}
    fixture.wait(0.2)
    assert fixture.view.upstreams == {}


@pytest.mark.parametrize("is_restored", [False, True])
@pytest.mark.parametrize("born", [4, 6])
def test_late_copy_of_an_earlier_life_does_not_replace_the_present_one(
    fixture, born, is_restored
):
    fixture.list_upstream(4)
    fixture.read()
    fixture.list_upstream(1, born=born)
    fixture.read()
    if is_restored:
        fixture.restore()
    fixture.list_upstream(4)
    fixture.read()
    assert fixture.view.upstreams["i-1"].started_at_ms == born
    started = started_daemons_upstreams(fixture)
    assert started["i-1"].started_at_ms == born


@pytest.mark.parametrize("born", [4, 6])
def test_living_upstream_is_present_again_after_a_late_copy(fixture, born):
    fixture.list_upstream(4)
    fixture.read()
    fixture.list_upstream(9, born=born)
    fixture.read()
    fixture.list_upstream(5)
    fixture.read()
    assert fixture.view.upstreams["i-1"].started_at_ms == 5


@pytest.mark.parametrize("born", ["soon", None, True, -1, 5.5, [], 10**30])
def test_upstreams_without_a_valid_start_time_are_used_as_listed(fixture, born):
    for number in (4, 1):
        fixture.list_upstream(number, born=born)
        fixture.read()
        assert set(fixture.view.upstreams) == {"i-1"}
        fixture.lists[names.UPSTREAMS_KIND].clear()
        fixture.read()
        assert fixture.view.upstreams == {}


def test_zone_taken_out_stays_out_when_a_restored_store_has_lost_that(fixture):
    fixture.lists[names.EVACUATIONS_KIND][ZONE] = {"metadata": {}}
    fixture.read()
    fixture.restore()
    fixture.lists[names.EVACUATIONS_KIND].clear()
    fixture.read()
    fixture.wait(GRACE_S - 0.1)
    assert fixture.view.zones_out == {ZONE}
    fixture.wait(0.2)
    assert fixture.view.zones_out == frozenset()


def test_zone_put_back_by_operators_is_used_at_once(fixture):
    fixture.lists[names.EVACUATIONS_KIND][ZONE] = {"metadata": {}}
    fixture.read()
    fixture.lists[names.EVACUATIONS_KIND].clear()
    fixture.read()
    assert fixture.view.zones_out == frozenset()


def test_peers_get_the_newest_config_and_not_that_of_a_restored_store(fixture):
    fixture.list_config("r9")
    fixture.read()
    fixture.restore()
    fixture.list_config("r7")
    fixture.read()
    (document,) = fixture.view.kinds[0].documents.values()
    assert document["spec"]["version"] == "r9"
    assert fixture.view.configuration.version == 9
    fixture.list_config("r11")
    fixture.read()
    (document,) = fixture.view.kinds[0].documents.values()
    assert document["spec"]["version"] == "r11"


def test_config_that_a_restored_store_has_lost_is_kept(fixture):
    fixture.list_config("r9")
    fixture.read()
    fixture.restore()
    fixture.lists[names.CONFIG_KIND].clear()
    fixture.read()
    fixture.wait(GRACE_S + 0.1)
    (document,) = fixture.view.kinds[0].documents.values()
    assert document["spec"]["version"] == "r9"


def test_upstream_that_lapsed_in_an_outage_is_removed_after_the_grace(fixture):
    fixture.list_upstream(1)
    fixture.read()
    upstreams = fixture.view.kinds[1]
    fixture.view.note_lost(upstreams, TimeoutError())
    fixture.wait(store_view.MIN_OUTAGE_S + 1)
    fixture.lists[names.UPSTREAMS_KIND].clear()
    fixture.read()
    fixture.wait(GRACE_S - 0.1)
    assert set(fixture.view.upstreams) == {"i-1"}
    fixture.wait(0.2)
    assert fixture.view.upstreams == {}
