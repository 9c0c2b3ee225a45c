"""Tests with real processes: kills, SIGSTOP, outages of the platform, and drains."""

import json
import signal
from concurrent.futures import ThreadPoolExecutor

import pytest
from scripts.fleet import call
from tests.processes import SmallFleet, error_reason


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        yield fleet.start_all()


@pytest.fixture
def pool():
    with ThreadPoolExecutor(16) as pool:
        yield pool


def test_killed_instance_leaves_no_engine_memory_held(fleet, pool):
    stream = pool.submit(fleet.summarise, "i1")
    fleet.wait_until(fleet.held_requests)
    fleet.instances_by_name["i1"].process.signal(signal.SIGKILL)
    fleet.wait_until(lambda: not fleet.held_requests())
    assert stream.exception() is not None or "[DONE]" not in stream.result()
    fleet.wait_until(lambda: fleet.look_up("i2").status == 200)


def test_lookups_continue_while_a_placement_owner_is_dead(fleet):
    fleet.instances_by_name["i1"].process.signal(signal.SIGKILL)
    answers = [fleet.look_up("i2") for _ in range(50)]
    assert {answer.status for answer in answers} == {200}


def test_stream_of_a_frozen_instance_ends_in_an_error(fleet, pool):
    stream = pool.submit(fleet.summarise, "i1")
    fleet.wait_until(fleet.held_requests)
    stopped = fleet.instances_by_name["i1"].process
    stopped.signal(signal.SIGSTOP)
    fleet.wait_until(lambda: not fleet.held_requests())
    stopped.signal(signal.SIGCONT)
    events = stream.result()
    assert events[-1] != "[DONE]"
    assert error_reason(events) in {"backend_failed", "no_backend_server"}
    fleet.wait_until(lambda: fleet.look_up("i1").status == 200)


def test_instance_started_in_an_outage_gets_the_configuration_from_a_peer(fleet):
    call(fleet.platform_port, "/faults", body=b'{"down": true}')
    fleet.instances_by_name["i1"].process.stop()
    peer = fleet.instances_by_name["i2"]
    process = fleet.launch_instance(
        "i1", "zone-a", f"--peer-address=127.0.0.1:{peer.peer_port}"
    )
    line = process.wait_for("pomeloglade:listening")
    process.wait_for("pomeloglade:in_force")
    fleet.instances_by_name["i1"].port = line["port"]
    fleet.wait_until(lambda: call(line["port"], "/public/x").status == 200)
    fleet.wait_until(lambda: fleet.look_up("i1").status == 200)
    refused = fleet.book("i1", "in the outage")
    assert refused.json["error"]["reason"] == "claim_unavailable"
    assert "Retry-After" in refused.headers
    assert call(fleet.ports["s1"], "/stand-in/runs").json["runs"] == {}


def test_graceful_shutdown_under_load_completes_open_requests(fleet, pool):
    streams = [pool.submit(fleet.summarise, "i1", 300) for _ in range(8)]
    fleet.wait_until(lambda: fleet.metric("i1", "pomeloglade_open_requests") == 8)
    draining = fleet.instances_by_name["i1"].process
    draining.signal(signal.SIGTERM)
    draining.wait_for("pomeloglade:draining")
    assert call(fleet.port("i1"), "/ready").status == 503
    assert fleet.look_up("i1").status == 200
    fleet.register_instance("i1", "leaving")
    assert {stream.result()[-1] for stream in streams} == {"[DONE]"}
    assert draining.wait_for("pomeloglade:stopped")["cut_requests"] == 0
    assert draining.popen.wait() == 0


def test_booking_sent_to_two_instances_at_once_runs_once(fleet, pool):
    for number in range(5):
        key = f"booking-{number}"
        both = [pool.submit(fleet.book, name, key) for name in ("i1", "i2")]
        statuses = {answer.result().status for answer in both}
        assert 201 in statuses
        assert statuses <= {201, 409}
        assert fleet.book("i2", key).status == 201
    runs = call(fleet.ports["s1"], "/stand-in/runs").json
    assert set(runs["runs"].values()) == {1}
    assert runs["keys_seen"] == 0


def test_withdrawn_key_ends_open_streams_and_is_refused_in_new_calls(fleet, pool):
    streams = [pool.submit(fleet.summarise, name) for name in ("i1", "i2")]
    fleet.wait_until(lambda: len(fleet.held_requests()) >= 2)
    fleet.publish(2, keys=False)
    assert {error_reason(stream.result()) for stream in streams} == {"key_withdrawn"}
    assert {fleet.look_up(name).status for name in ("i1", "i2")} == {401}
    fleet.wait_until(lambda: not fleet.held_requests())


def test_stream_of_a_stopped_engine_ends_in_a_typed_error(fleet, pool):
    stream = pool.submit(fleet.summarise, "i1")
    fleet.wait_until(fleet.held_requests)
    for name in ("d1", "d2"):
        fleet.engines[name].signal(signal.SIGSTOP)
    events = stream.result()
    error = json.loads(events[-1])["error"]
    assert error["reason"] in {"backend_failed", "no_backend_server"}
    assert error["peer"] in {"d1", "d2"}
    assert not error["not_run"]


def test_request_that_crashes_engines_reaches_at_most_two(fleet):
    body = {"model": "m", "prompt": "please crash-the-engine now", "max_tokens": 5}
    encoded = json.dumps(body).encode()
    key = "club-key"
    for number in range(6):
        port = fleet.port(("i1", "i2")[number % 2])
        answer = call(port, "/v1/completions", key=key, body=encoded)
        assert answer.status != 200
    crashed = [name for name, each in fleet.engines.items() if each.popen.poll() == 0]
    assert len(crashed) <= 2
