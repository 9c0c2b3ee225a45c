"""Readiness and status of this instance, for probes and operators."""

from datetime import timedelta

from pomeloglade_coordination.configuration import ConfigurationSpread
from pomeloglade_coordination.members import MembershipView
from pomeloglade_coordination.refusals import Reason, Refusal, Step

from ..coordination.current_configuration import CurrentConfiguration
from ..coordination.open_requests import OpenRequests
from ..protocol.instances import InstanceStatus, encode
from ..state.call import Caller
from ..state.counters import CounterPage

CUT_OFF_RETRY_AFTER = timedelta(seconds=5)


class StatusPage:
    """Readiness and status of this instance, and its refusals while cut off."""

    def __init__(
        self,
        members: MembershipView,
        in_force: CurrentConfiguration,
        configuration_spread: ConfigurationSpread,
        open_requests: OpenRequests,
        counters: CounterPage,
    ) -> None:
        self._members = members
        self._in_force = in_force
        self._configuration_spread = configuration_spread
        self._open = open_requests
        self._counters = counters
        self.draining = False

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force and the instance is not draining."""
        return self._in_force.revision > 0 and not self.draining

    def refusal_while_cut_off(self, caller: Caller) -> Refusal | None:
        """Return a refusal if cut off and the account's policy is to refuse then."""
        account = caller.account
        if account is None or account.when_cut_off == "serve":
            return None
        if not self._configuration_spread.cut_off:
            return None
        return Refusal(
            Reason.CUT_OFF, Step.AUTHENTICATE, retry_after=CUT_OFF_RETRY_AFTER
        )

    def render_status(self) -> bytes:
        """Return the status as JSON."""
        own = self._members.own
        body = InstanceStatus(
            instance=own.instance,
            availability_zone=own.availability_zone,
            incarnation=own.incarnation,
            revision=self._in_force.revision,
            ready=self.ready,
            draining=self.draining,
            cut_off=self._configuration_spread.cut_off,
            open_requests=len(self._open),
            live_instances=tuple(each.instance for each in self._members.live()),
            in_force_by_instance=dict(
                self._configuration_spread.in_force_by_instance()
            ),
        )
        return encode(body)

    def render_counters(self) -> bytes:
        """Return the counters of the components in Prometheus' text format."""
        return self._counters.render()
