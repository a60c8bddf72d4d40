"""Claims about upstreams' room and the choice among them."""

from sardinehill.core import room


def test_an_upstream_that_said_it_is_full_is_left_alone_for_a_moment():
    one = room.Room(slots=3)
    one.full(1.0)
    assert not one.may_send(1.0, limit=5, cold_limit=1)
    assert one.may_send(1.0 + room.FULL_PAUSE_S, limit=5, cold_limit=1)


def test_a_cold_upstream_gets_no_more_than_its_part_in_any_second():
    one = room.Room(slots=3, cold_until_s=100.0)
    sent = []
    for step in range(400):
        now_s = step * 0.01
        if one.may_send(now_s, limit=1000, cold_limit=2):
            one.sent(now_s)
            sent.append(now_s)
    for start in sent:
        assert sum(1 for at in sent if start <= at < start + 1.0) <= 2


def test_the_choice_avoids_the_slow_the_failing_and_the_busy():
    fast, slow, failing, busy = (room.Room(slots=3) for _ in range(4))
    for _ in range(40):
        fast.answered(0.05, 0.1, ok=True)
        slow.answered(0.5, 0.1, ok=True)
        failing.answered(0.05, 0.1, ok=False)
    busy.told_load(3, 9, 1.0, 0.0)
    rooms = [
        ("slow", slow, 1.0),
        ("failing", failing, 1.0),
        ("busy", busy, 1.0),
        ("fast", fast, 1.0),
    ]
    assert room.cheapest(rooms, 0.0, lambda: 0.5) == "fast"


def test_an_unreachable_upstream_is_tried_less_and_less_often():
    one = room.Room(slots=3)
    one.unreachable(0.0)
    first_s = one.blocked_until_s
    one.unreachable(first_s)
    assert one.blocked_until_s - first_s > first_s
    one.answered(0.1, 0.1, ok=True)
    assert one.ejections == 0


def test_repeats_stay_within_the_part_of_one_daemon():
    budget = room.RepeatBudget(ratio=0.2, slack=58.0, window_s=10.0)
    for index in range(100):
        budget.requested(index * 0.01)
    taken = sum(budget.take(1.0, daemons=9) for _ in range(200))
    assert taken == int(100 * 0.2 + 58 / 9)
    assert not budget.take(1.0, daemons=9)
    assert budget.take(12.0, daemons=9)


def test_daemons_that_lost_power_leave_room_for_new_connections():
    # The upstream keeps the old ones for some seconds; it reset 1,000 new ones.
    for daemons in (1, 9, 11, 62):
        limit = room.connection_limit(50, daemons)
        assert limit >= 1
        assert 2 * limit * daemons <= max(50, 2 * daemons)


def test_an_upstream_that_resets_new_connections_gets_one_request_at_a_time():
    one = room.Room(slots=3)
    one.connection_reset(10.0)
    later_s = 10.0 + room.FULL_PAUSE_S
    assert one.may_send(later_s, limit=4, cold_limit=0)
    one.sent(later_s)
    assert not one.may_send(later_s, limit=4, cold_limit=0)
    assert one.may_send(10.0 + room.NARROW_S, limit=4, cold_limit=0)
