"""Trials of quarantined requests by a new software version."""

from dataclasses import replace

import pytest
from tests.forwarding_fakes import Harness, server
from twisted.internet.defer import Deferred, fail

from pomeloglade.forwarding.quarantine_trials import QuarantineTrials
from pomeloglade.protocol.quarantine import QUARANTINE_PREFIX, decode
from pomeloglade_coordination.errors import KeyValueOutcomeUnknownError

CRASHES = 3
LOOKUP, DIGEST = "/lookups/1", "/digests/1"


@pytest.fixture
def harness():
    """Return a harness whose quarantine store sees its own writes."""
    plain = [server("p" * n) for n in range(1, 6)]
    engines = [server("d" * n, "llm", "decode") for n in range(1, 6)]
    return Harness(*plain, *engines, server("pre", "llm", "prefill"))


def check(harness):
    """Let the quarantine store write, and read what the store has."""
    harness.advance(6.0)
    harness.quarantine_store.check()
    harness.advance(6.0)
    harness.quarantine_store.replace_all(stored(harness), restored=False)


def stored(harness):
    return [
        each
        for each in harness.store.copy().entries
        if each.key.startswith(QUARANTINE_PREFIX)
    ]


def send(harness, target):
    start = harness.model_call if target == DIGEST else harness.call
    responder, _ = start(target)
    return responder


def sent_to(harness):
    return [
        each.header("X-Pomeloglade-Expect-Instance").decode()
        for each in harness.network.requests
        if each.head.method == b"POST" and not each.prefill
    ]


def crash(harness):
    """Answer prefills, and end each server that a call was sent to."""
    while pending := [each for each in harness.network.requests if not each.aborted]:
        for each in pending:
            each.aborted = True
            if each.prefill:
                each.answer_prefill()
                continue
            if each.head.method != b"POST":
                each.answer()
                continue
            ended = each.header("X-Pomeloglade-Expect-Instance").decode()
            each.reset()
            harness.backends.remove(ended, lenient=False)
    harness.advance(0.3)


def press(harness, target, times):
    """Send a call again and again, while it ends each server that it reaches."""
    for _ in range(times):
        send(harness, target)
        crash(harness)
        check(harness)


def quarantine(harness, target):
    while harness.quarantine.count_suspected() == 0:
        send(harness, target)
        crash(harness)
    check(harness)
    assert stored(harness)
    assert send(harness, target).reason == "ends_servers"


def restart(harness):
    """Let the instance forget all that it knew of ended servers."""
    kept, quarantine = harness.quarantine_store, harness.quarantine
    for each in (quarantine._records_by_key, quarantine._keys_by_run):
        each.clear()
    kept._entries_by_key.clear()
    kept._trials_claimed.clear()
    kept.trials._version_by_key.clear()


def register_version(harness, service, version="v2"):
    stage = "decode" if service == "llm" else ""
    for name in ("new-a", "new-bb"):
        new = server(name, service, stage)
        harness.backends.put(replace(new, software_version=version))


# Guards against refusing for ten minutes what a new version would answer, and against
# more than one server for its trial.
@pytest.mark.parametrize("target", [LOOKUP, DIGEST])
def test_new_version_gets_one_trial_at_one_server(harness, target):
    quarantine(harness, target)
    before = len(sent_to(harness))
    register_version(harness, "llm" if target == DIGEST else "api")
    # A prompt has two keys that came together; each is claimed in turn.
    for _ in range(len(stored(harness))):
        assert send(harness, target).reason == "ends_servers"
        check(harness)
    assert len(sent_to(harness)) == before
    assert all(decode(e.value).software_versions[-1] == "v2" for e in stored(harness))
    prefills = len(harness.network.requests) - before
    send(harness, target)
    (server_id,) = sent_to(harness)[before:]
    assert server_id.startswith("new-")
    assert len(harness.network.requests) == before + 1 + prefills
    assert send(harness, target).reason == "ends_servers"
    crash(harness)
    for _ in range(4):
        assert send(harness, target).reason == "ends_servers"
        check(harness)
    assert len(sent_to(harness)) == before + 1
    assert len(decode(stored(harness)[0].value).servers) == CRASHES + 1


# Guards against one more ended server for each of several releases (review/5).
@pytest.mark.parametrize("target", [LOOKUP, DIGEST])
def test_versions_that_follow_a_failed_trial_have_none(harness, target):
    quarantine(harness, target)
    before = len(sent_to(harness))
    service = "llm" if target == DIGEST else "api"
    for version in ("v2", "v3", "v4", "v5", "v6"):
        register_version(harness, service, version)
        press(harness, target, 2 + len(stored(harness)))
    assert len(sent_to(harness)) == before + 1


def test_failed_trial_is_not_repeated_after_all_instances_have_ended(harness):
    quarantine(harness, LOOKUP)
    before = len(sent_to(harness))
    for version in ("v2", "v3", "v4"):
        register_version(harness, "api", version)
        press(harness, LOOKUP, 3)
        # The next instance knows what is stored, and nothing else.
        stored_entries = stored(harness)
        restart(harness)
        harness.quarantine_store.replace_all(stored_entries, restored=False)
    assert len(sent_to(harness)) == before + 1


def test_claim_is_not_forgotten_with_an_older_copy_of_the_store(harness):
    quarantine(harness, LOOKUP)
    older = stored(harness)
    before = len(sent_to(harness))
    register_version(harness, "api", "v2")
    press(harness, LOOKUP, 3)
    copies = [replace(e, revision=e.revision + 10) for e in older]
    harness.quarantine_store.replace_all(copies, restored=True)
    register_version(harness, "api", "v3")
    for _ in range(3):
        send(harness, LOOKUP)
        crash(harness)
        harness.advance(6.0)
    assert len(sent_to(harness)) == before + 1


def test_claim_without_an_answer_uses_up_the_trial(harness):
    quarantine(harness, LOOKUP)
    before = len(sent_to(harness))
    put = harness.store.put

    def unanswered(*args, **options):
        put(*args, **options)
        return fail(KeyValueOutcomeUnknownError("no answer"))

    harness.store.put = unanswered
    register_version(harness, "api", "v2")
    send(harness, LOOKUP)
    check(harness)
    harness.store.put = put
    for version in ("v2", "v3"):
        register_version(harness, "api", version)
        for _ in range(3):
            assert send(harness, LOOKUP).reason == "ends_servers"
            check(harness)
    assert len(sent_to(harness)) == before


def test_trial_that_was_not_made_goes_to_the_next_version(harness):
    # A call of several keys needs the trial of each by the same version.
    quarantine(harness, LOOKUP)
    before = len(sent_to(harness))
    register_version(harness, "api", "v2")
    send(harness, LOOKUP)
    check(harness)
    register_version(harness, "api", "v3")
    press(harness, LOOKUP, 2)
    (server_id,) = sent_to(harness)[before:]
    assert server_id.startswith("new-")


def test_operator_who_lifts_a_quarantine_allows_another_trial(harness):
    quarantine(harness, LOOKUP)
    register_version(harness, "api", "v2")
    press(harness, LOOKUP, 3)
    harness.store.delete(stored(harness)[0].key)
    harness.quarantine_store.replace_all([], restored=False)
    for name in ("q", "qq", "qqq", "qqqq"):
        harness.backends.put(server(name))
    quarantine(harness, LOOKUP)
    before = len(sent_to(harness))
    register_version(harness, "api", "v3")
    press(harness, LOOKUP, 3)
    assert len(sent_to(harness)) == before + 1


@pytest.mark.parametrize("target", [LOOKUP, DIGEST])
def test_answer_of_a_trial_ends_the_quarantine(harness, target):
    quarantine(harness, target)
    register_version(harness, "llm" if target == DIGEST else "api")
    for _ in range(len(stored(harness))):
        send(harness, target)
        check(harness)
    responder = send(harness, target)
    trial = harness.network.requests[-1]
    if target == DIGEST:
        trial.begin_answer()
        trial.event(1)
        trial.end()
    else:
        trial.answer(200, b"whole")
    assert responder.status == 200
    assert "quarantine_trial" in harness.log.names()
    check(harness)
    assert stored(harness) == []
    before = len(harness.network.requests)
    send(harness, target)
    assert len(harness.network.requests) == before + 1


def test_version_that_served_when_the_quarantine_began_has_no_trial(harness):
    register_version(harness, "api", version="v1")
    quarantine(harness, LOOKUP)
    before = len(sent_to(harness))
    for _ in range(4):
        assert send(harness, LOOKUP).reason == "ends_servers"
        check(harness)
    assert len(sent_to(harness)) == before


# Guards against trials at two instances that meet a new version at the same time.
def test_only_the_instance_whose_claim_succeeds_has_the_trial(harness):
    quarantine(harness, LOOKUP)
    register_version(harness, "api")
    keys = harness.quarantine.refused_keys(list(harness.quarantine.quarantined()))
    outcomes = [Deferred(), Deferred()]
    first, second = (
        QuarantineTrials(
            harness.quarantine,
            harness.backends,
            harness.quarantine_store.entry,
            lambda key, version, outcome=outcome: outcome,
        )
        for outcome in outcomes
    )
    for each in (first, second):
        each.claim(keys, "api")
        assert each.version(keys, "api") is None
    outcomes[0].callback(True)
    outcomes[1].callback(False)
    assert first.version(keys, "api") == "v2"
    assert second.version(keys, "api") is None
    new = harness.backends.get("new-a")
    old = next(e for e in harness.backends.serving("api") if not e.software_version)
    assert not first.begin(keys, old)
    assert first.begin(keys, new)
    assert not first.begin(keys, new)


def test_no_trial_without_an_entry_or_while_the_store_refuses(harness):
    quarantine(harness, LOOKUP)
    register_version(harness, "api")
    harness.store.delete(stored(harness)[0].key)
    for _ in range(3):
        assert send(harness, LOOKUP).reason == "ends_servers"
        harness.advance(6.0)
    assert (
        harness.quarantine_store.trials.version(
            harness.quarantine.refused_keys(list(harness.quarantine.quarantined())),
            "api",
        )
        is None
    )
