"""Stateful test of membership together with the distribution of the configuration.

The oracle is the list of published values: an instance has one of them, with its
revision, and never reverts to an older one. Once all zones and the platform are
reachable again, all instances have the latest value within the bound.
"""

import hypothesis
from bench.membership_model import Fleet
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from pomeloglade_coordination.configuration_messages import ConfigurationRevision

IN_FORCE_SECONDS = 3.0
MEMBERSHIP_SECONDS = 10.0
ZONES = 3

zones = strategies.integers(0, ZONES - 1)
picks = strategies.integers(0, 100)


class _SpreadMachine(RuleBasedStateMachine):
    """Publishes while zones are cut and instances fail."""

    @initialize(seed=strategies.integers(0, 2**32), extra=strategies.integers(0, 2))
    def start(self, seed, extra):
        self.fleet = Fleet((2 + extra, 2, 2), seed=seed)
        self.value_by_revision = {}
        self.incarnation = 1
        self.failures = []
        for node in self.fleet.nodes:
            self.observe(node)
        self.fleet.advance(4)

    def observe(self, node):
        node.members.subscribe_death(self.check_death)

    def check_death(self, member):
        target = self.fleet.network.nodes_by_instance.get(member.instance)
        if target is None or target.members.own.incarnation != member.incarnation:
            return
        if not target.members.fenced:
            self.failures.append(member)

    def pick(self, number):
        return self.fleet.nodes[number % len(self.fleet.nodes)]

    @rule(size=strategies.sampled_from([1, 40, 9000]))
    def publish(self, size):
        value = b"%d," % len(self.value_by_revision) * size
        self.value_by_revision[self.fleet.publish(value)] = value

    @rule(zone=zones)
    def cut(self, zone):
        self.fleet.network.isolate_zone(f"zone-{zone}")

    @rule(zone=zones, up=strategies.booleans())
    def platform(self, zone, up):
        for node in self.fleet.nodes:
            if node.zone == f"zone-{zone}":
                node.store.reachable = up

    @rule(number=picks, silent=strategies.booleans())
    def watches(self, number, silent):
        self.pick(number).store.silent_watches = silent

    @rule(number=picks, seconds=strategies.sampled_from([0.0, 2.0, 7.0]))
    def freeze(self, number, seconds):
        self.pick(number).freeze()
        self.fleet.advance(seconds)

    @rule(number=picks)
    def wake(self, number):
        self.pick(number).wake()

    @precondition(lambda self: not self.fleet.network.cut_zones)
    @rule(number=picks, loss=strategies.sampled_from([0.0, 0.05, 0.2]))
    def lose_messages(self, number, loss):
        """Lose messages too briefly for a peer to become suspected."""
        self.fleet.network.loss_probability = loss
        self.fleet.advance(0.6)
        self.fleet.network.loss_probability = 0.0

    @rule(number=picks, gap=strategies.sampled_from([0.0, 1.0, 6.0]))
    def restart(self, number, gap):
        node = self.pick(number)
        up = node.store.reachable
        node.kill()
        self.fleet.advance(gap)
        self.incarnation += 100
        node = self.fleet.start(node.instance, self.incarnation)
        node.store.reachable = up
        self.observe(node)

    @precondition(lambda self: self.value_by_revision)
    @rule(number=picks, other=picks)
    def announce_an_old_revision(self, number, other):
        revision = min(self.value_by_revision)
        node, sender = self.pick(number), self.pick(other)
        node.deliver(sender.instance, ConfigurationRevision(revision))

    @rule(seconds=strategies.sampled_from([0.1, 1.0, 12.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @rule()
    def heal(self):
        self.fleet.network.cut_zones.clear()
        for node in self.fleet.nodes:
            node.store.reachable = True
            node.wake()
        self.fleet.advance(IN_FORCE_SECONDS)
        if self.value_by_revision:
            latest = max(self.value_by_revision)
            revisions = {n.instance: n.spread.revision for n in self.fleet.nodes}
            assert set(revisions.values()) == {latest}, revisions
        self.fleet.advance(MEMBERSHIP_SECONDS)
        expected = [node.instance for node in self.fleet.nodes]
        for node in self.fleet.nodes:
            assert [m.instance for m in node.members.live()] == expected
            assert not node.spread.cut_off

    @invariant()
    def never_reverts(self):
        if not hasattr(self, "fleet"):
            return
        assert self.failures == []
        for node in self.fleet.nodes:
            assert node.adopted == sorted(set(node.adopted))
            if node.spread.revision:
                value = self.value_by_revision[node.spread.revision]
                assert node.spread.value == value

    def teardown(self):
        if hasattr(self, "fleet"):
            self.heal()
            self.never_reverts()


_SpreadMachine.TestCase.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=25
)
TestSpread = _SpreadMachine.TestCase
