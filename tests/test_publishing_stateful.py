"""Stateful test of concurrent operators on a store with faults."""

import tempfile
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pomeloglade.porcelain import OperationRefusedError, Operations
from pomeloglade.protocol.deployment import decode
from pomeloglade.publishing import (
    PublishConflictError,
    Publisher,
    PublishReplacedError,
    PublishUnknownError,
)
from pomeloglade.state.keys import digest_key
from pomeloglade_coordination.errors import (
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
)
from pomeloglade_coordination.key_value import MemoryKeyValueStore

FOLDER = """
availability_zones = ["a"]
instances.i1.availability_zone = "a"
[accounts.league]
rate = {rate}
burst = 1000
key_digests.office = "{digest}"
"""
OFFICE = digest_key("office")
RATES = (1, 2, 3)
MAX_COMMAND_SECONDS = 100

FAULTS = st.sampled_from(["", "", "", "lost", "lost before", "late", "down"])
SCRIPTS = st.lists(st.tuples(FAULTS, st.sampled_from([0.0, 0.3, 2.0])), max_size=6)


class ScriptedStore(MemoryKeyValueStore):
    """Applies the next delay and fault of a script to each call."""

    def __init__(self, clock):
        super().__init__(clock)
        self.script = []
        self.applied = []

    def get(self, key):
        """Return the entry after a delay, or fail while down."""
        return self._call("get", lambda: super(ScriptedStore, self).get(key))

    def put(self, key, value, *, expected=None, lease=""):
        """Store the value now, late or never, and return or lose the answer."""

        def apply():
            stored = super(ScriptedStore, self).put(key, value, expected=expected)
            return stored.addCallback(record)

        def record(revision):
            self.applied.append(decode(value))
            return revision

        return self._call("put", apply)

    def _call(self, step, apply):
        fault, delay = self.script.pop(0) if self.script else ("", 0.0)
        answer = Deferred()
        if step == "get" and fault in ("lost", "lost before", "late"):
            fault = "down"
        self._clock.callLater(delay, self._answer, fault, step, apply, answer)
        return answer

    def _answer(self, fault, step, apply, answer):
        if fault == "down":
            answer.errback(KeyValueUnavailableError("down", step=step))
            return
        if fault == "late":
            self._clock.callLater(2.5, lambda: apply().addErrback(lambda _: None))
        if fault == "lost":
            apply().addErrback(lambda _: None)
        if fault:
            answer.errback(KeyValueOutcomeUnknownError("lost", step=step))
            return
        apply().chainDeferred(answer)


class ConcurrentOperators(RuleBasedStateMachine):
    """Runs commands concurrently and checks their reports against what was stored."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.store = ScriptedStore(self.clock)
        self.folders = tempfile.TemporaryDirectory()
        self.outcomes_by_command = {}
        self.digests_by_key_name = {}
        self.withdrawal_positions_by_digest = {}
        self.commands = 0

    @initialize()
    def publish_first(self):
        """Publish a folder without faults."""
        for rate in RATES:
            folder = Path(self.folders.name) / str(rate)
            folder.mkdir()
            text = FOLDER.format(rate=rate, digest=OFFICE)
            (folder / "all.toml").write_text(text)
        self.digests_by_key_name["office"] = OFFICE
        self.publish(1, [])
        self.advance(1.0)

    @rule(rate=st.sampled_from(RATES), script=SCRIPTS)
    def publish(self, rate, script):
        """Publish a folder with this rate."""
        folder = Path(self.folders.name) / str(rate)
        self.start(script, lambda operations: operations.publish(folder))

    @rule(script=SCRIPTS)
    def create_key(self, script):
        """Create a key."""
        name = f"key-{self.commands}"

        def created(result):
            self.digests_by_key_name[name] = digest_key(result.key)
            return result

        self.start(script, lambda o: o.create_key("league", name), created)

    @rule(data=st.data(), script=SCRIPTS)
    def withdraw_key(self, data, script):
        """Withdraw a key that is known from the folder or an earlier command."""
        name = data.draw(st.sampled_from(sorted(self.digests_by_key_name)))

        def withdrawn(result):
            digest = self.digests_by_key_name[name]
            position = len(self.store.applied)
            self.withdrawal_positions_by_digest.setdefault(digest, position)
            return result

        self.start(script, lambda o: o.withdraw_key("league", name), withdrawn)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def advance(self, seconds):
        """Advance the clock."""
        self.clock.pump([0.1] * round(seconds / 0.1))

    def start(self, script, call, succeeded=lambda result: result):
        """Start a command without waiting for its outcome."""
        command = self.commands
        self.commands += 1
        self.store.script += script
        ids = iter(f"{command}-{number}" for number in range(100))
        publisher = Publisher(self.store, self.clock, lambda: next(ids))
        operations = Operations(self.store, None, self.clock, publisher)
        started = call(operations).addCallback(succeeded)
        started.addErrback(lambda failure: failure.value)
        started.addCallback(lambda outcome: self.finish(command, outcome))

    def finish(self, command, outcome):
        """Record the outcome of a command."""
        self.outcomes_by_command[command] = outcome

    @invariant()
    def reports_are_true(self):
        """Check what each command reported against what was stored."""
        ids = [published.publish_id for published in self.store.applied]
        for command, outcome in self.outcomes_by_command.items():
            own = [i for i in ids if i.startswith(f"{command}-")]
            if not isinstance(outcome, Exception):
                assert outcome.receipt.publish_id in ids
                assert len(own) <= 1
            elif isinstance(outcome, PublishReplacedError):
                assert own
                assert own[-1] != ids[-1]
            elif not isinstance(outcome, PublishUnknownError):
                expected = (
                    PublishConflictError,
                    KeyValueUnavailableError,
                    OperationRefusedError,
                )
                assert isinstance(outcome, expected)
                assert not own, outcome

    @invariant()
    def withdrawn_keys_stay_withdrawn(self):
        """Check every configuration that was stored after a withdrawal."""
        for digest, position in self.withdrawal_positions_by_digest.items():
            for published in self.store.applied[position:]:
                account = published.deployment.accounts_by_name["league"]
                assert digest not in account.key_digests.values()
                assert digest in account.withdrawn_digests

    def teardown(self):
        """Let every command finish and check the invariants once more."""
        self.advance(MAX_COMMAND_SECONDS)
        self.reports_are_true()
        self.withdrawn_keys_stay_withdrawn()
        assert len(self.outcomes_by_command) == self.commands
        self.folders.cleanup()


TestConcurrentOperators = ConcurrentOperators.TestCase
