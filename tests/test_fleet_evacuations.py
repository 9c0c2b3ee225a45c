"""Evacuations in fleets whose instances learn from contacts, and from the store."""

from collections import Counter

import pytest
from tests import report_fleet
from tests.faulty_fleet import StoreFault
from tests.forwarding_fakes import ListLog, server
from tests.report_fleet import Fleet
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade_platform import servers

ZONE = "zone-b"
KEY = servers.EVACUATIONS_PREFIX + ZONE
CONTACT_SECONDS, EVACUATE_SECONDS = 4.0, 5.0


class ZoneView(StoreView):
    """The view of an instance with a server of the zone, and no other."""

    def __init__(self):
        self.backends = Backends(Clock(), lambda _: None)
        layout = StoreLayout(
            "op/config", "servers/", "i/", "orders", None, None, "op/evacuate/"
        )
        super().__init__(
            layout=layout,
            backends=self.backends,
            log=ListLog(),
            revoke_seconds=None,
            transit_seconds=0.1,
            apply_seconds=2.0,
        )
        self.server = server("a", zone=ZONE)
        self.backends.put(self.server)

    def uses_the_zone(self):
        return self.backends.usable(self.server)


@pytest.fixture(params=[6, 40])
def fleet(request, monkeypatch):
    monkeypatch.setattr(report_fleet, "View", ZoneView)
    return Fleet(request.param)


def using(fleet):
    return Counter(each.view.uses_the_zone() for each in fleet.live())


# Guards against members that go on until their own watch of the store ends, and against
# calls to the store that grow with each change by more than one for each instance.
def test_all_instances_follow_the_operator_at_once(fleet):
    calls = sum(each.follower.calls for each in fleet.instances)
    fleet.store.put(KEY, b"{}")
    fleet.run(0.4)
    assert using(fleet)[True] == 0
    assert sum(e.follower.calls for e in fleet.instances) - calls <= 2 * len(
        fleet.instances
    )
    fleet.store.delete(KEY)
    fleet.run(0.4)
    assert using(fleet)[False] == 0


# Guards against requests after the operator's limit from instances that hear their
# contact but lost the store, or the contrary.
def test_instances_that_have_the_store_follow_though_their_contact_has_not(fleet):
    contacts = fleet.contacts()
    lost = [each for each in fleet.instances if each.name in contacts]
    for each in lost:
        each.store.fault = StoreFault.SILENT
    fleet.run(0.5)
    fleet.store.put(KEY, b"{}")
    fleet.run(EVACUATE_SECONDS)
    having = [e for e in fleet.instances if e.store.fault is StoreFault.NONE]
    assert not any(each.view.uses_the_zone() for each in having)
    for each in lost:
        each.store.fault = StoreFault.NONE
    fleet.run(CONTACT_SECONDS + 1.0)
    assert using(fleet)[True] == 0


# Guards against a zone that returns with a store from an older copy, an instance that
# lost the store, or one that starts anew.
def test_zone_stays_out_of_use_through_restoration_outage_and_restart(fleet):
    copy = fleet.store.copy()
    fleet.store.put(KEY, b"{}")
    fleet.run(0.5)
    for each in fleet.instances[::2]:
        each.store.fault = StoreFault.DOWN
    fleet.run(10.0)
    assert using(fleet)[True] == 0
    for each in fleet.instances:
        each.store.fault = StoreFault.NONE
    fleet.run(3.0)
    fleet.store.restore(copy)
    fleet.run(5.0)
    assert using(fleet)[True] == 0
    fleet.kill(fleet.instances[3])
    started = fleet.restart(fleet.instances[3])
    fleet.run(1.0)
    # It can't know the zone until the operator writes the key again, which is urgent
    # also for a contact that has kept it.
    assert started.view.uses_the_zone()
    fleet.store.put(KEY, b"{}")
    fleet.run(0.4)
    assert using(fleet)[True] == 0
    fleet.kill(fleet.instances[4])
    fleet.restart(fleet.instances[4])
    fleet.run(0.1)
    assert using(fleet)[True] == 0
