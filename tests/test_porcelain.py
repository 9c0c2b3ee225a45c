"""Tests of the operators' commands on an in-memory store with faults."""

from datetime import timedelta
from itertools import count

import pytest
from twisted.internet.defer import fail, succeed

from pomeloglade.porcelain import OperationRefusedError, Operations
from pomeloglade.protocol.deployment import (
    CONFIGURATION_KEY,
    DeploymentTooLargeError,
    PublishedDeployment,
    decode,
    encode,
)
from pomeloglade.protocol.instances import InstanceRecord, InstanceStatus
from pomeloglade.protocol.instances import encode as encode_instance
from pomeloglade.publishing import (
    MAX_RECENT_PUBLISHES,
    Draft,
    PublishConflictError,
    Publisher,
    PublishReplacedError,
    PublishUnknownError,
)
from pomeloglade.state.deployment import ClientAccount, Deployment, Route
from pomeloglade.state.folder import BadFolderError
from pomeloglade.state.keys import digest_key, key_owners_by_digest
from pomeloglade.transport.status import StatusUnavailableError
from pomeloglade_coordination.configuration_shards import ShardedConfiguration
from pomeloglade_coordination.errors import (
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
)
from pomeloglade_coordination.key_value import MAX_VALUE_BYTES, MemoryKeyValueStore

FOLDER = """
availability_zones = ["a", "b"]
instances.i1.availability_zone = "a"
instances.i2.availability_zone = "b"
[accounts.league]
rate = {rate}
burst = 1000
key_digests = {{ {keys} }}
[routes.roster]
prefix = "/roster"
kind = "plain"
pool = "api"
[backend_servers.api-1]
availability_zone = "a"
address = "10.0.0.1:80"
pool = "api"
role = "plain"
"""
OFFICE_DIGEST = digest_key("office")
OFFICE = f'office = "{OFFICE_DIGEST}"'


class FaultyStore(MemoryKeyValueStore):
    """Store whose calls fail while ``down`` is set.

    The answer of the next ``lost_answers`` puts is lost after the value was stored;
    the next ``lost_requests`` puts are lost before. Each put that reaches the store
    removes the first callable of ``after_puts``, if any, and calls it.
    """

    down = False
    lost_answers = 0
    lost_requests = 0

    def __init__(self, clock):
        super().__init__(clock)
        self.after_puts = []

    def get(self, key):
        """Fail while down."""
        if self.down:
            return fail(KeyValueUnavailableError("down", step="get", peer="platform"))
        return super().get(key)

    def put(self, key, value, *, expected=None, lease=""):
        """Fail while down, or lose the answer."""
        unknown = KeyValueOutcomeUnknownError("lost", step="put", peer="platform")
        if self.down:
            return fail(KeyValueUnavailableError("down", step="put", peer="platform"))
        if self.lost_requests:
            self.lost_requests -= 1
            return fail(unknown)
        answer = super().put(key, value, expected=expected, lease=lease)
        if self.lost_answers:
            self.lost_answers -= 1
            answer.addErrback(lambda failure: None)
            answer = fail(unknown)
        if self.after_puts:
            self.after_puts.pop(0)()
        return answer


class Instances:
    """Status client that returns the statuses in a table."""

    def __init__(self):
        self.statuses_by_address = {}

    def fetch(self, address):
        """Return the status, or fail as if the instance were cut off."""
        status = self.statuses_by_address.get(address)
        if status is None:
            return fail(StatusUnavailableError("cut off", step="status", peer=address))
        return succeed(status)


@pytest.fixture
def store(clock):
    return FaultyStore(clock)


@pytest.fixture
def instances():
    return Instances()


@pytest.fixture
def operations(store, clock, instances):
    ids = count(1)
    publisher = Publisher(store, clock, lambda: f"p{next(ids)}")
    return Operations(store, instances, clock, publisher)


@pytest.fixture
def other(store, clock, instances):
    """Return the commands of a second operator."""
    ids = count(1)
    publisher = Publisher(store, clock, lambda: f"q{next(ids)}")
    return Operations(store, instances, clock, publisher)


@pytest.fixture
def folder(tmp_path):
    def folder(name="folder", rate=100, keys="", extra=""):
        path = tmp_path / name
        path.mkdir(exist_ok=True)
        (path / "all.toml").write_text(FOLDER.format(rate=rate, keys=keys) + extra)
        return path

    return folder


@pytest.fixture
def result(clock):
    def result(deferred):
        outcomes = []
        deferred.addBoth(outcomes.append)
        for _ in range(100):
            if outcomes:
                break
            clock.advance(1)
        if hasattr(outcomes[0], "raiseException"):
            outcomes[0].raiseException()
        return outcomes[0]

    return result


@pytest.fixture
def published(store, result):
    def published():
        return decode(result(store.get(CONFIGURATION_KEY)).value)

    return published


@pytest.fixture
def act_after_next_read(store):
    """Let another operator act right after the next read of the configuration."""

    def act_after_next_read(act):
        original_get = store.get

        def get(key):
            store.get = original_get
            entry = original_get(key)
            act()
            return entry

        store.get = get

    return act_after_next_read


def league(published):
    return published().deployment.accounts_by_name["league"]


def test_a_published_deployment_is_unchanged_by_encoding_and_decoding():
    route = Route("r", "/r", "model", "p", first_token=timedelta(seconds=1.1))
    account = ClientAccount("a", 10, 20, withdrawn_digests=(digest_key("k"),))
    deployment = Deployment(("z",), {"a": account}, {"r": route})
    published = PublishedDeployment("p1", deployment, ("p0",), (digest_key("j"),))
    assert decode(encode(published)) == published
    assert key_owners_by_digest(deployment)[digest_key("k")].withdrawn


def test_a_deployment_over_the_limit_is_refused_with_its_size():
    accounts = {f"a{i}": ClientAccount(f"a{i}", 1, 1) for i in range(140_000)}
    with pytest.raises(DeploymentTooLargeError, match="140000 client accounts"):
        encode(PublishedDeployment("p1", Deployment(accounts_by_name=accounts)))


def test_a_configuration_too_large_for_one_value_is_published_in_shards(
    operations, store, folder, result
):
    extra = "".join(f"[accounts.club-{n}]\nrate = 1\nburst = 1\n" for n in range(9000))
    result(operations.publish(folder(extra=extra)))
    key = result(operations.create_key("club-5999", "office"))
    found = result(ShardedConfiguration(store).read())
    accounts = decode(found.value).deployment.accounts_by_name
    assert len(found.value) > MAX_VALUE_BYTES
    assert accounts["club-5999"].key_digests == {"office": digest_key(key.key)}
    assert len(accounts) == 9001


def test_publishing_the_same_folder_again_stores_nothing(operations, folder, result):
    first = result(operations.publish(folder())).receipt
    second = result(operations.publish(folder())).receipt
    assert (first.changed, second.changed) == (True, False)
    assert first.revision == second.revision


def test_a_bad_folder_publishes_nothing(operations, folder, result, store):
    with pytest.raises(BadFolderError):
        result(operations.publish(folder(rate='"fast"')))
    assert result(store.get(CONFIGURATION_KEY)) is None


@pytest.mark.parametrize("fault", ["lost_answers", "lost_requests"])
def test_a_lost_answer_is_resolved(operations, folder, result, store, published, fault):
    setattr(store, fault, 1)
    receipt = result(operations.publish(folder())).receipt
    assert receipt.answer_lost
    assert published().publish_id == receipt.publish_id == "p1"


def test_a_lost_answer_is_resolved_after_an_outage(operations, folder, result, store):
    def recover():
        store.down = False

    store.lost_answers = 1
    store.after_puts = [lambda: setattr(store, "down", True)]
    store._clock.callLater(3, recover)
    assert result(operations.publish(folder())).receipt.answer_lost


def test_an_outage_that_lasts_leaves_the_outcome_unknown(
    operations, folder, result, store
):
    store.lost_answers = 1
    store.after_puts = [lambda: setattr(store, "down", True)]
    with pytest.raises(PublishUnknownError, match="p1 may or may not"):
        result(operations.publish(folder()))


@pytest.mark.parametrize(
    ("fault", "error", "message"),
    [
        ("lost_answers", PublishReplacedError, "p2 took effect, and publish q1"),
        ("lost_requests", PublishConflictError, "nothing was published"),
    ],
)
def test_a_lost_answer_is_resolved_despite_another_publish(
    operations, other, folder, result, store, published, fault, error, message
):
    result(operations.publish(folder()))
    theirs = folder("theirs", rate=300)

    def publish_theirs():
        setattr(store, fault, 0)
        result(other.publish(theirs))

    setattr(store, fault, 1)
    if fault == "lost_answers":
        store.after_puts = [publish_theirs]
    else:
        store._clock.callLater(0.5, publish_theirs)
        store.lost_requests = 2
    with pytest.raises(error, match=message):
        result(operations.publish(folder("ours", rate=200)))
    assert league(published).rate == 300


def test_an_outcome_beyond_the_recent_publishes_is_unknown(result, store, clock):
    publisher = Publisher(store, clock)
    base = result(publisher.current())

    def publish_many():
        for _ in range(MAX_RECENT_PUBLISHES + 1):
            current = result(publisher.current())
            result(publisher.publish(current, Draft(Deployment())))

    store.lost_answers = 1
    store.after_puts = [publish_many]
    with pytest.raises(PublishUnknownError, match="cannot tell"):
        result(publisher.publish(base, Draft(Deployment())))


def test_a_publish_from_an_outdated_diff_conflicts(
    operations, other, folder, result, published
):
    result(operations.publish(folder()))
    difference = result(operations.diff(folder("ours", rate=200)))
    assert [change.key for change in difference.changes] == ["accounts.league.rate"]
    result(other.publish(folder("theirs", rate=300)))
    with pytest.raises(PublishConflictError, match="publish q1"):
        result(operations.publish(folder("ours", rate=200), difference.revision))
    assert league(published).rate == 300


def test_a_publish_between_read_and_write_is_a_conflict(
    operations, other, folder, result, act_after_next_read, published
):
    result(operations.publish(folder()))
    act_after_next_read(lambda: result(other.publish(folder("theirs", rate=300))))
    with pytest.raises(PublishConflictError, match="publish q1"):
        result(operations.publish(folder("ours", rate=200)))
    assert league(published).rate == 300


def test_a_platform_that_is_down_publishes_nothing(operations, folder, result, store):
    store.down = True
    with pytest.raises(KeyValueUnavailableError) as caught:
        result(operations.publish(folder()))
    assert caught.value.peer == "platform"


def test_a_withdrawn_key_is_not_restored_by_a_publish(
    operations, folder, result, published
):
    old = folder("old", keys=OFFICE)
    result(operations.publish(old))
    key = result(operations.create_key("league", "phone")).key
    result(operations.withdraw_key("league", "office"))
    result(operations.withdraw_key("league", "phone"))
    for path in (old, folder("renamed", keys=f'desk = "{OFFICE_DIGEST}"')):
        outcome = result(operations.publish(path))
        assert "was withdrawn and stays so" in outcome.notices[0]
        assert league(published).key_digests == {}
    owners = key_owners_by_digest(published().deployment)
    assert owners[OFFICE_DIGEST].withdrawn
    assert owners[digest_key(key)].withdrawn


def test_a_withdrawn_key_stays_withdrawn_without_its_account(
    operations, folder, result, published
):
    old = folder("old", keys=OFFICE)
    result(operations.publish(old))
    result(operations.withdraw_key("league", "office"))
    without = folder("without")
    text = (without / "all.toml").read_text().replace("accounts.league", "accounts.x")
    (without / "all.toml").write_text(text)
    result(operations.publish(without))
    result(operations.publish(old))
    assert league(published).key_digests == {}


def test_keys_created_by_command_are_kept_by_a_publish(
    operations, folder, result, published
):
    result(operations.publish(folder()))
    created = result(operations.create_key("league", "phone"))
    result(operations.publish(folder("newer", rate=7)))
    assert league(published).key_digests == {"phone": digest_key(created.key)}
    assert created.key.encode() not in encode(published())
    with pytest.raises(OperationRefusedError, match="already has a key"):
        result(operations.create_key("league", "phone"))
    with pytest.raises(OperationRefusedError, match="accounts? 'other'"):
        result(operations.create_key("other", "phone"))


def test_a_drain_is_kept_by_a_publish_unless_the_folder_states_a_state(
    operations, folder, result, published
):
    def state():
        return published().deployment.backend_servers_by_name["api-1"].state

    result(operations.publish(folder()))
    result(operations.set_backend_state("api-1", "leaving"))
    result(operations.publish(folder(rate=7)))
    assert state() == "leaving"
    result(operations.publish(folder(extra='state = "serving"\n')))
    assert state() == "serving"


def test_an_edit_is_applied_again_after_a_concurrent_publish(
    operations, other, folder, result, act_after_next_read, published
):
    result(operations.publish(folder()))
    act_after_next_read(lambda: result(other.publish(folder("theirs", rate=300))))
    result(operations.create_key("league", "phone"))
    assert league(published).rate == 300
    assert list(league(published).key_digests) == ["phone"]


def test_a_withdrawal_does_not_touch_a_new_key_of_the_same_name(
    operations, other, folder, result, act_after_next_read, published
):
    result(operations.publish(folder()))
    result(operations.create_key("league", "phone"))

    def replace_the_key():
        result(other.withdraw_key("league", "phone"))
        result(other.create_key("league", "phone"))

    act_after_next_read(replace_the_key)
    assert not result(operations.withdraw_key("league", "phone")).receipt.changed
    assert list(league(published).key_digests) == ["phone"]


def test_an_edit_with_a_lost_answer_succeeds_if_a_later_publish_kept_it(
    operations, other, folder, result, store, published
):
    result(operations.publish(folder()))
    store.lost_answers = 1
    store.after_puts = [lambda: result(other.publish(folder("theirs", rate=300)))]
    created = result(operations.create_key("league", "phone"))
    assert (created.receipt.replaced, created.receipt.publish_id) == (True, "q1")
    assert league(published).key_digests == {"phone": digest_key(created.key)}


def add_instance(store, instances, name, zone, revision, peers=None, state="live"):
    record = InstanceRecord(name, zone, f"{name}:80", state=state)
    store.put(f"instances/{name}", encode_instance(record))
    if revision:
        instances.statuses_by_address[record.address] = InstanceStatus(
            name, zone, 1, revision, True, peers or {}
        )


def test_wait_names_unreached_zones_and_instances(
    operations, folder, result, store, instances, clock
):
    receipt = result(operations.publish(folder())).receipt
    add_instance(store, instances, "i1", "a", receipt.revision)
    add_instance(store, instances, "i2", "b", 0)
    rollout = result(operations.wait_in_force(receipt, timedelta(seconds=5)))
    assert not rollout.complete
    assert rollout.unreached_zones == ("b",)
    [_, i2] = rollout.instances
    assert (i2.instance, i2.state, i2.error) == ("i2", "unreached", "cut off")
    peers = {"i2": receipt.revision}
    add_instance(store, instances, "i1", "a", receipt.revision, peers)
    rollout = result(operations.status())
    assert rollout.complete
    assert rollout.instances[1].heard_from == "i1"


def test_wait_ends_as_soon_as_the_last_instance_has_it(
    operations, folder, result, store, instances, clock
):
    receipt = result(operations.publish(folder())).receipt
    add_instance(store, instances, "i1", "a", receipt.revision)
    add_instance(store, instances, "i2", "b", receipt.revision - 1)
    add_instance(store, instances, "i3", "b", 0, state="leaving")
    newer = InstanceStatus("i2", "b", 1, receipt.revision + 1, True)
    clock.callLater(2, instances.statuses_by_address.update, {"i2:80": newer})
    started = clock.seconds()
    assert result(operations.wait_in_force(receipt, timedelta(seconds=60))).complete
    assert clock.seconds() - started < 5


def test_a_status_under_another_instance_name_is_rejected(
    operations, folder, result, store, instances
):
    receipt = result(operations.publish(folder())).receipt
    add_instance(store, instances, "i1", "a", receipt.revision)
    instances.statuses_by_address["i1:80"] = InstanceStatus("i9", "a", 1, 99, True)
    [found] = result(operations.status()).instances
    assert found.state == "unreached"
    assert "'i9' answers" in found.error


def test_a_zone_without_any_instance_is_unreached(
    operations, folder, result, store, instances
):
    receipt = result(operations.publish(folder())).receipt
    add_instance(store, instances, "i1", "a", receipt.revision)
    rollout = result(operations.status())
    assert not rollout.complete
    assert rollout.unreached_zones == ("b",)


def test_status_works_without_the_platform(operations, result, store, instances):
    add_instance(store, instances, "i1", "a", 7, {"i2": 7, "i3": 6})
    store.down = True
    rollout = result(operations.status(("i1:80",)))
    assert [(i.instance, i.state) for i in rollout.instances] == [
        ("i2", "in force"),
        ("i3", "behind"),
        ("i1", "in force"),
    ]
