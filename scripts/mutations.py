"""Mutation tests: each disables one mechanism in a copy of the sources.

    make mutations

The tests of that mechanism must fail. Each line printed names the rule, the mutation
and the first test that failed.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("packages", "platform", "soak", "scripts", "tests", "pyproject.toml")
FORWARDING = "packages/pomeloglade/src/pomeloglade/forwarding/"
COORDINATION = "packages/pomeloglade-coordination/src/pomeloglade_coordination/"
TRANSPORT = "packages/pomeloglade/src/pomeloglade/transport/"
CODEC = "platform/pomeloglade_platform/calls.py"


@dataclass(frozen=True, slots=True)
class Mutation:
    """A change of one file that breaks a rule, and the tests that must fail."""

    rule: str
    description: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]


CALLS = ("tests/test_plain_calls.py", "tests/test_model_calls.py")
PARTS = ("tests/test_forwarding_parts.py",)
WIRE = ("tests/test_platform_codecs.py",)
NOTICES = ("tests/test_server_notices.py",)
SITE = ("tests/test_http_site.py",)
EXCHANGE = ("tests/test_http_exchange.py",)
ENDS = ("tests/test_server_ends.py",)
QUARANTINES = ("tests/test_quarantine_store.py", "tests/test_quarantine_trials.py")
RESUMED = ("tests/test_resumed_streams.py",)
COLD_SERVERS = ("tests/test_cold_servers.py",)
CRASHES = ("tests/test_crashing_requests.py", "tests/test_crash_quarantine.py")
ENDLESS = ("tests/test_endless_responses.py",)
SLOW_READERS = ("tests/test_slow_readers.py",)
UNREAD = ("tests/test_unread_responses.py",)

MUTATIONS = (
    Mutation(
        "MIXED, other answers",
        "the call id echoed in an answer is not checked",
        FORWARDING + "plain_calls.py",
        "    if not metadata.echoes_call_id:\n",
        "    if False:\n",
        CALLS,
    ),
    Mutation(
        "MIXED, other answers",
        "an answer without a seal is passed on",
        FORWARDING + "plain_calls.py",
        "    elif not metadata.has_seal:\n",
        "    elif False:\n",
        CALLS,
    ),
    Mutation(
        "MIXED, cut answers",
        "a connection reset counts as the end of an unframed answer",
        TRANSPORT + "http_exchange.py",
        "        if reason.check(ConnectionDone):\n",
        "        if True:\n",
        EXCHANGE,
    ),
    Mutation(
        "MIXED, handles",
        "a KV cache handle is kept after an engine has taken it",
        FORWARDING + "model_calls.py",
        "            caches.clear()\n            validate_answer",
        "            validate_answer",
        CALLS,
    ),
    Mutation(
        "UNASKED",
        "a request with two framing headers is accepted",
        TRANSPORT + "http_site.py",
        'elif b"transfer-encoding" in names and b"content-length" in names:',
        "elif False:",
        SITE,
    ),
    Mutation(
        "UNASKED",
        "headers that only the router sets are passed on from a caller",
        CODEC,
        "                if each[0].lower() not in SET_BY_ROUTER\n",
        "",
        WIRE + CALLS,
    ),
    Mutation(
        "TWICE",
        "a lost call is resent though its route is not idempotent",
        FORWARDING + "plain_calls.py",
        "                if not resolved.route.idempotent:\n",
        "                if False:\n",
        CALLS,
    ),
    Mutation(
        "TWICE",
        "a lost stream is resent though its route is not resumable",
        FORWARDING + "model_calls.py",
        "                    not stream.may_go_on\n                    or state",
        "                    state",
        CALLS,
    ),
    Mutation(
        "REFUSED",
        "a call that may have run is refused as not run",
        FORWARDING + "forwarder.py",
        "            if status in NOT_RUN_STATUSES or status < 500:\n",
        "            if False:\n",
        CALLS,
    ),
    Mutation(
        "DENIED",
        "an outdated configuration denies routes and keys",
        FORWARDING + "store_view.py",
        "return self.age() < self._max_age_for_denials",
        "return True",
        CALLS + PARTS,
    ),
    Mutation(
        "BUDGET, repeated sendings",
        "the resend budget is never exhausted",
        FORWARDING + "resend_budget.py",
        "        if self.remaining(service) <= 0:\n",
        "        if False:\n",
        CALLS + PARTS,
    ),
    Mutation(
        "BUDGET, time",
        "a dispatched call does not carry the time left",
        FORWARDING + "plain_calls.py",
        "                seconds_left=state.seconds_left(),\n",
        "                seconds_left=None,\n",
        CALLS,
    ),
    Mutation(
        "GONE",
        "the backend call is not cancelled when the caller disconnects",
        FORWARDING + "plain_calls.py",
        "                exchange.cancel()\n",
        "                pass\n",
        CALLS,
    ),
    Mutation(
        "LOST",
        "a draining site does not ask callers to close connections",
        FORWARDING + "forwarder.py",
        "        return self._draining or not",
        "        return not",
        SITE + CALLS + PARTS,
    ),
    Mutation(
        "CONFIG, in force",
        "a dispatch uses the configuration in force when the call arrived",
        FORWARDING + "send_context.py",
        "        state.resolve()\n        self.backends",
        "        self.backends",
        CALLS,
    ),
    Mutation(
        "CONFIG, never back",
        "an older configuration replaces a newer one",
        FORWARDING + "store_view.py",
        "deployment.version < self.deployment.version",
        "False",
        PARTS,
    ),
    Mutation(
        "CONFIG, withdrawn keys",
        "keys are accepted at any age of the configuration",
        FORWARDING + "store_view.py",
        "return self.age() < self._max_age_for_keys",
        "return True",
        CALLS + PARTS,
    ),
    Mutation(
        "CONFIG, timeouts",
        "the route's timeout is ignored",
        FORWARDING + "call_state.py",
        "            limit = min(limit, self.call.time_limit)\n",
        "            limit = self.call.time_limit\n",
        CALLS,
    ),
    Mutation(
        "DRAIN",
        "a draining server is still used",
        "platform/pomeloglade_platform/servers.py",
        '        draining=entry.state == "draining",\n',
        "        draining=False,\n",
        WIRE,
    ),
    Mutation(
        "ROUTE",
        "a dispatched call does not name the expected server",
        CODEC,
        "        headers.append((EXPECTED_SERVER, parameters.server.encode()))\n",
        "",
        WIRE + CALLS,
    ),
    Mutation(
        "QUOTA",
        "no part of the limit is reserved for silent instances",
        FORWARDING + "usage.py",
        "        return sum(used.values()) + reserved\n",
        "        return sum(used.values())\n",
        ("tests/test_usage.py",),
    ),
    Mutation(
        "ORDER",
        "a partial event of a broken stream is passed on",
        FORWARDING + "event_stream.py",
        "        return whole if self.resumable else data\n",
        "        return data\n",
        CALLS,
    ),
    Mutation(
        "ORDER",
        "a stream is complete however its body ended",
        FORWARDING + "event_stream.py",
        "        return self.inside_event\n",
        "        return False\n",
        CALLS,
    ),
    Mutation(
        "ORDER",
        "a stream goes on at any software version",
        FORWARDING + "engine_queue.py",
        "            if each.software_version == version and",
        "            if",
        ("tests/test_stream_versions.py",),
    ),
    Mutation(
        "held in vain",
        "the rate at which engines begin calls leaves out their memory",
        FORWARDING + "engine_rate.py",
        "        if self._mean_tokens:\n            calls",
        "        if False:\n            calls",
        ("tests/test_engine_rate.py",),
    ),
    Mutation(
        "read in vain",
        "instances always choose the engine that seems to be the emptiest",
        FORWARDING + "placement_spread.py",
        "        if count == 1:\n",
        "        if True:\n",
        ("tests/test_placement_spread.py",),
    ),
    Mutation(
        "late streams, local prefills",
        "a prompt that paused streams too long is not remembered",
        FORWARDING + "prefill_pauses.py",
        "        return tokens >= known.tokens\n",
        "        return False\n",
        ("tests/test_prefill_pauses.py",),
    ),
    Mutation(
        "BUDGET, errors of sound servers",
        "errors are retried until the budget is used up",
        FORWARDING + "resend_budget.py",
        "        return self._share_left(own) > own.events and",
        "        return",
        ("tests/test_plain_calls.py",),
    ),
    Mutation(
        "ORDER, versions after a restart",
        "the record of software versions is not read",
        FORWARDING + "version_history.py",
        "        if known is not None:\n            oldest",
        "        if False:\n            oldest",
        ("tests/test_version_history.py",),
    ),
    Mutation(
        "ORDER, versions after a restart",
        "a record of an earlier era of the store is trusted",
        FORWARDING + "version_history.py",
        "            if record.era != self._store.era.current:\n",
        "            if False:\n",
        ("tests/test_version_history.py",),
    ),
    Mutation(
        "ORDER, versions after a restart",
        "streams begin at versions that are not on record",
        FORWARDING + "engine_queue.py",
        "each for each in engines if self.recorded(each)",
        "each for each in engines",
        ("tests/test_version_history.py",),
    ),
    Mutation(
        "ORDER",
        "instances do not learn which version began a stream",
        FORWARDING + "report_relay.py",
        "        self._origins.apply_reported(report.origins, scope)\n",
        "",
        ("tests/test_origin_reports.py",),
    ),
    Mutation(
        "ONE",
        "a new lease holder gives orders without waiting",
        FORWARDING + "stage_orders.py",
        "now - self._held_since > self._pause_seconds and (",
        "True and (",
        ("tests/test_stage_orders.py",),
    ),
    Mutation(
        "DRAIN, said by the server",
        "a server's word that it leaves is not remembered",
        FORWARDING + "send_context.py",
        "        if notice.leaving and ",
        "        if False and ",
        NOTICES,
    ),
    Mutation(
        "DRAIN, said by the server",
        "an older copy of the store lists a drained server as serving again",
        FORWARDING + "backends.py",
        "            self._remember_leaving(_run(server))\n",
        "            pass\n",
        PARTS,
    ),
    Mutation(
        "BUDGET, pauses",
        "a paused server still gets calls",
        FORWARDING + "backends.py",
        "servers = [each for each in servers if not self.paused_for(each)]",
        "pass",
        NOTICES,
    ),
    Mutation(
        "BUDGET, pauses",
        "the pause that a server asks for is ignored",
        FORWARDING + "send_context.py",
        "        if notice.pause > 0:\n",
        "        if False:\n",
        NOTICES,
    ),
    Mutation(
        "LOST",
        "a stopping instance takes calls that it will cut off",
        FORWARDING + "forwarder.py",
        "        if state.deadline() > self._stops_at:\n",
        "        if False:\n",
        CALLS,
    ),
    Mutation(
        "LOST, slow readers",
        "the time to read a response runs from its begin",
        TRANSPORT + "http_site.py",
        "                self._start_timer(MAX_STALL_SECONDS, self._abort)\n"
        "            if self._resumed",
        "                pass\n            if self._resumed",
        SLOW_READERS,
    ),
    Mutation(
        "LOST, slow readers",
        "a connection counts as idle while its response is read",
        TRANSPORT + "http_site.py",
        "        self._when_sent(self._finish_response)\n",
        "        self._finish_response()\n",
        SLOW_READERS,
    ),
    Mutation(
        "Fault, unread responses",
        "complete responses are not counted",
        TRANSPORT + "responder.py",
        "            self._connection.hold_unread(repeatable=self.repeatable)\n",
        "",
        UNREAD,
    ),
    Mutation(
        "Fault, unread responses",
        "bookings give way like other calls",
        TRANSPORT + "unread_responses.py",
        "(not known.repeatable, -owner_bytes, known.read_at)",
        "(-owner_bytes, known.read_at)",
        UNREAD,
    ),
    Mutation(
        "Fault, unread responses",
        "calls are sent though their answers have no room",
        FORWARDING + "forwarder.py",
        "        if not responses.has_room(owner):\n",
        "        if False:\n",
        UNREAD,
    ),
    Mutation(
        "LOST",
        "a connection stays open after a response that began before the drain",
        TRANSPORT + "http_site.py",
        "        if not reusable or self._site.handler.is_draining():\n",
        "        if not reusable:\n",
        SITE,
    ),
    Mutation(
        "Store era",
        "a watch of an earlier era is believed",
        "platform/pomeloglade_platform/store.py",
        "if answer.status == 410 or answer.era != era_of(after):",
        "if answer.status == 410:",
        WIRE,
    ),
    Mutation(
        "Store era, ONE",
        "a lease of an earlier era is still held",
        COORDINATION + "lease.py",
        "        if era_of(self._fencing_token) != self._store.era.current:\n",
        "        if False:\n",
        ("tests/test_store_era.py",),
    ),
    Mutation(
        "CONFIG, withdrawn keys",
        "a relayed proof counts from its arrival",
        FORWARDING + "report_relay.py",
        "stamp - report.store.age",
        "self._clock.seconds() - report.store.age",
        ("tests/test_report_relay.py",),
    ),
    Mutation(
        "CONFIG, withdrawn keys",
        "a relayed proof counts though urgent changes were not applied",
        FORWARDING + "store_follower.py",
        "if proof.urgent_position <= self._revision:\n            self._confirm",
        "if True:\n            self._confirm",
        ("tests/test_report_relay.py", "tests/test_store_follower.py"),
    ),
    Mutation(
        "QUOTA",
        "instances that no fresh report covers are forgotten",
        FORWARDING + "usage.py",
        "        silent = instances - self.covered()\n",
        "        silent = 0\n",
        ("tests/test_report_relay.py",),
    ),
    Mutation(
        "BUDGET, crashes",
        "a request that ends servers is never refused",
        FORWARDING + "crash_quarantine.py",
        "max(map(self._refused_for, self.refused_keys(keys)), default=0.0)",
        "0.0",
        CRASHES,
    ),
    Mutation(
        "BUDGET, crashes",
        "crashes are not reported to the other instances",
        FORWARDING + "report_relay.py",
        "            crashes=crashes,\n",
        "",
        CRASHES,
    ),
    Mutation(
        "BUDGET, crashes",
        "an instance that returns is not told of earlier crashes",
        FORWARDING + "report_relay.py",
        "        if returned:\n",
        "        if False:\n",
        CRASHES,
    ),
    Mutation(
        "BUDGET, crashing parts",
        "prompt parts have no keys",
        FORWARDING + "call_state.py",
        "part_keys(prompt) if prompt is not None else ()",
        "()",
        CRASHES,
    ),
    Mutation(
        "BUDGET, crashing parts",
        "the last part of a prompt has no key",
        FORWARDING + "request_keys.py",
        ", *prompt.parts[-1:])",
        ",)",
        CRASHES,
    ),
    Mutation(
        "LOST, beside crashes",
        "an answer does not show a key sound",
        FORWARDING + "crash_quarantine.py",
        "            if key in self._records_by_key:\n",
        "            if False:\n",
        CRASHES,
    ),
    Mutation(
        "LOST, beside crashes",
        "a crash is blamed on all that was lost with it",
        FORWARDING + "crash_quarantine.py",
        "        return others_ends >= ends\n",
        "        return False\n",
        CRASHES,
    ),
    Mutation(
        "LOST, beside crashes",
        "a server that goes on answering counts as ended",
        FORWARDING + "crash_quarantine.py",
        "        if ended_at is not None and sent_at > ended_at:\n",
        "        if False:\n",
        CRASHES,
    ),
    Mutation(
        "LOST, beside crashes",
        "many servers lost at once count as ended",
        FORWARDING + "server_ends.py",
        "        if is_burst(burst):\n",
        "        if False:\n",
        ENDS,
    ),
    Mutation(
        "LOST, beside crashes",
        "what was lost before a cut is not withdrawn",
        FORWARDING + "server_ends.py",
        "        if not self._cut_off():\n",
        "        if True:\n",
        ENDS,
    ),
    Mutation(
        "BUDGET, crashes",
        "ends that a cut instance withdraws are not confirmed",
        FORWARDING + "server_ends.py",
        "        elif self._seen(run):\n",
        "        elif False:\n",
        ENDS,
    ),
    Mutation(
        "BUDGET, stored quarantines",
        "entries of the store are not learned",
        FORWARDING + "quarantine_store.py",
        "        if left > 0:\n",
        "        if False:\n",
        QUARANTINES,
    ),
    Mutation(
        "BUDGET, stored quarantines",
        "a restored store's missing entry is taken for a lifted one",
        FORWARDING + "quarantine_store.py",
        "            if restored:\n",
        "            if False:\n",
        QUARANTINES,
    ),
    Mutation(
        "BUDGET, stored quarantines",
        "a trial is not used up",
        FORWARDING + "quarantine_trials.py",
        "            del self._version_by_key[key]\n",
        "            pass\n",
        QUARANTINES,
    ),
    Mutation(
        "LIMIT",
        "requests to limited servers are not reported",
        FORWARDING + "report_relay.py",
        "            sends=news.sends,\n",
        "",
        ("tests/test_server_limits.py",),
    ),
    Mutation(
        "LIMIT",
        "limits are not reported",
        FORWARDING + "report_relay.py",
        "            limits=self._limits.take_due(scope),\n",
        "",
        ("tests/test_server_limits.py",),
    ),
    Mutation(
        "LIMIT",
        "all instances are let through at once",
        FORWARDING + "request_bucket.py",
        "    return 1.0 if demand <= wanted else wanted / demand\n",
        "    return 1.0\n",
        ("tests/test_server_limits.py",),
    ),
    Mutation(
        "LIMIT",
        "an instance without reports keeps the whole limit",
        FORWARDING + "server_limits.py",
        "        return min(1.0, covered / max(1, instances))\n",
        "        return 1.0\n",
        ("tests/test_server_limits.py",),
    ),
    Mutation(
        "COLD",
        "the rate while cold is ignored",
        FORWARDING + "server_limits.py",
        "        return cold.rate if named is None else min(named, cold.rate)\n",
        "        return named\n",
        COLD_SERVERS,
    ),
    Mutation(
        "COLD",
        "an instance that hears nothing keeps the whole rate for a while",
        FORWARDING + "server_limits.py",
        "            covered = 1\n",
        "            pass\n",
        COLD_SERVERS,
    ),
    Mutation(
        "COLD",
        "instances without reports save a request each",
        FORWARDING + "server_limits.py",
        "            lapsing=cold is not None and covered == 1 < instances,\n",
        "",
        COLD_SERVERS,
    ),
    Mutation(
        "COLD",
        "an instance takes itself for the only one that asks",
        FORWARDING + "request_bucket.py",
        "demand = max(demand, instances * self._own_demand.per_second(now))\n",
        "pass\n",
        COLD_SERVERS,
    ),
    Mutation(
        "COLD",
        "instances do not tell each other of cold servers",
        FORWARDING + "cold_servers.py",
        "        if told and self._news.put(COLD_TOPIC.name, key, value):\n",
        "        if False:\n",
        COLD_SERVERS,
    ),
    Mutation(
        "TWICE, passed on",
        "a call that may have run is passed on again",
        FORWARDING + "peer_calls.py",
        "            not route.idempotent or state.run_count >= route.max_servers\n",
        "            False\n",
        ("tests/test_peer_calls.py",),
    ),
    Mutation(
        "QUOTA, passed on",
        "a call that was passed on is counted twice",
        FORWARDING + "forwarder.py",
        "            if state.passed_on:\n                cost = 0\n",
        "",
        ("tests/test_peer_calls.py",),
    ),
    Mutation(
        "RECOVER, cut from the servers",
        "a silent instance is passed further calls",
        FORWARDING + "peer_calls.py",
        "            if answered_at < sent_at:\n",
        "            if False:\n",
        ("tests/test_peer_calls.py",),
    ),
    Mutation(
        "RECOVER, cut from the servers",
        "a call that was passed on is passed on again",
        FORWARDING + "peer_calls.py",
        "        if state.passed_on or refused.reason",
        "        if refused.reason",
        ("tests/test_peer_calls.py",),
    ),
    Mutation(
        "servers in trouble",
        "unfinished bodies may take any memory together",
        TRANSPORT + "body_memory.py",
        "        while self.total > self._max_total:\n",
        "        while False:\n",
        ENDLESS,
    ),
    Mutation(
        "servers in trouble",
        "an event may have any length",
        FORWARDING + "event_stream.py",
        "        if len(self._partial) > MAX_EVENT_BYTES:\n",
        "        if False:\n",
        ENDLESS,
    ),
    Mutation(
        "servers in trouble",
        "interim responses may come without end",
        TRANSPORT + "http_exchange.py",
        "            if self._bytes_before_head > MAX_RESPONSE_HEAD_BYTES:\n",
        "            if False:\n",
        EXCHANGE,
    ),
    Mutation(
        "Fault, unreadable entries",
        "deep nesting raises another error than the decoders'",
        COORDINATION + "json_decoding.py",
        "except (RecursionError, UnicodeDecodeError) as error:",
        "except UnicodeDecodeError as error:",
        ("tests/test_unreadable_entries.py",),
    ),
    Mutation(
        "Fault, unreadable entries",
        "an unforeseen error of one entry is passed on",
        FORWARDING + "entry_isolation.py",
        "    except Exception as error:\n",
        "    except KeyError as error:\n",
        ("tests/test_unreadable_entries.py",),
    ),
    Mutation(
        "QUOTA, late registrations",
        "a registration is written without a condition",
        FORWARDING + "registration.py",
        "self._key, value, expected=self._revision, lease=lease",
        "self._key, value, lease=lease",
        ("tests/test_registration.py",),
    ),
    Mutation(
        "QUOTA, late registrations",
        "an instance does not look at its own entry",
        FORWARDING + "registration.py",
        "elif self._replaced():",
        "elif False:",
        ("tests/test_registration.py",),
    ),
    Mutation(
        "QUOTA, late registrations",
        "instances that are only heard are not counted",
        FORWARDING + "report_relay.py",
        "1 + peers + self._known.count_others()",
        "1 + peers",
        ("tests/test_known_peers.py",),
    ),
    Mutation(
        "BUDGET, trials",
        "each new version has a trial",
        FORWARDING + "quarantine_trials.py",
        "if entry.trial_claimed and held is None:",
        "if False:",
        QUARANTINES,
    ),
    Mutation(
        "REFUSED, repeated refusals",
        "a refusal without an id is a promise on any connection",
        CODEC,
        "(echoed is None and not on_kept_connection)",
        "echoed is None",
        ("tests/test_repeated_refusals.py",),
    ),
    Mutation(
        "ORDER, out of step",
        "an instance that has missed reports trusts what it knows",
        FORWARDING + "stream_take_up.py",
        "not self._contact.with_all()",
        "False",
        ("tests/test_fleet_contact.py",),
    ),
    Mutation(
        "ORDER",
        "a stream goes on with any event",
        FORWARDING + "event_stream.py",
        "if self._goes_on and (fault := order.fault(event)):",
        "if False and (fault := order.fault(event)):",
        RESUMED,
    ),
    Mutation(
        "ORDER",
        "a stream may end without going on",
        FORWARDING + "event_stream.py",
        "        if not self._answer_has_data and not self.inside_event:\n",
        "        if False:\n",
        RESUMED,
    ),
    Mutation(
        "MIXED",
        "a stream goes on with an answer of any status",
        FORWARDING + "event_stream.py",
        "if self._goes_on and status != SUCCESS:",
        "if False:",
        RESUMED,
    ),
    Mutation(
        "ORDER",
        "a stream goes on after a gap",
        FORWARDING + "event_order.py",
        "return step == (self.steps[0] if self.steps else 1)",
        "return step > 0",
        RESUMED,
    ),
    Mutation(
        "ORDER",
        "a stream is resumed though its next event is not known",
        FORWARDING + "event_stream.py",
        "return self.resumable and not self._order.ended",
        "return self.resumable",
        RESUMED,
    ),
    Mutation(
        "BUDGET",
        "an engine that goes on wrongly counts as ended",
        "packages/pomeloglade/src/pomeloglade/errors.py",
        "class WrongContinuationError(InvalidBackendResponseError)",
        "class WrongContinuationError(BackendLostError)",
        RESUMED,
    ),
)


def failing_test(root: Path, tests: tuple[str, ...]) -> str | None:
    """Return the first test that fails in a tree, or ``None``."""
    sources = [str(each) for each in sorted((root / "packages").glob("*/src"))]
    paths = [*sources, str(root / "platform"), str(root)]
    ended = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider", *tests],
        cwd=root,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=False,
    )
    if ended.returncode == 0:
        return None
    failed = [line for line in ended.stdout.splitlines() if line.startswith("FAILED")]
    return failed[0].split(" - ")[0].removeprefix("FAILED ") if failed else ended.stdout


def detecting_test(mutation: Mutation) -> str | None:
    """Apply a mutation to a copy; return the first test that fails, or ``None``."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(
                    source, root / name, ignore=shutil.ignore_patterns("__pycache__")
                )
            else:
                shutil.copy(source, root / name)
        changed = root / mutation.path
        text = changed.read_text()
        if mutation.old not in text:
            raise SystemExit(f"{mutation.path} has no {mutation.old!r}")
        changed.write_text(text.replace(mutation.old, mutation.new))
        return failing_test(root, mutation.tests)


def main() -> None:
    """Try all mutations; exit with 1 if the tests pass under any of them."""
    undetected = 0
    for mutation in MUTATIONS:
        test = detecting_test(mutation)
        undetected += test is None
        sys.stdout.write(
            f"{mutation.rule}: {mutation.description}: {test or 'NOT DETECTED'}\n"
        )
        sys.stdout.flush()
    if undetected:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
