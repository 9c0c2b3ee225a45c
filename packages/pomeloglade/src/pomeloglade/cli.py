"""The operators' command line."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any, NoReturn, Protocol

import typer
from twisted.internet.defer import Deferred

from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.key_value import KeyValueStore

from . import porcelain, reports
from .porcelain import Operations
from .protocol.deployment import DeploymentTooLargeError
from .rollout import Rollout
from .settings import (
    parse_duration_within,
    parse_peer_address,
    parse_platform_timeout,
    parse_url,
)
from .state.folder import BadFolderError
from .transport.call_timeouts import new_http_client
from .transport.key_value import open_key_value_store
from .transport.status import HttpStatusClient

EXIT_FAILURE = 1
EXIT_USAGE = 2

CLIENT_NAME = "pomeloglade"

MAX_WAIT = timedelta(minutes=10)

Command = Callable[[Operations], Coroutine[Any, Any, Any]]


def _parse_wait(text: str) -> timedelta:
    return parse_duration_within(text, timedelta(0), MAX_WAIT)


_PLATFORM_URL = typer.Option(
    envvar="POMELOGLADE_PLATFORM_URL",
    parser=parse_url,
    help="Address of the key-value service.",
)
PlatformUrl = Annotated[str, _PLATFORM_URL]
OptionalPlatformUrl = Annotated[str | None, _PLATFORM_URL]
PlatformTimeout = Annotated[
    timedelta,
    typer.Option(
        envvar="POMELOGLADE_PLATFORM_TIMEOUT",
        parser=parse_platform_timeout,
        help="Timeout of each call to the key-value service and to instances.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON, one value per line.")]
Wait = Annotated[
    bool,
    typer.Option(
        "--wait", help="Wait until the change is in force and print where it is."
    ),
]
WaitTimeout = Annotated[
    timedelta,
    typer.Option(parser=_parse_wait, help="Timeout of --wait, at most 10m."),
]
FolderArgument = Annotated[Path, typer.Argument(metavar="FOLDER")]
AccountArgument = Annotated[str, typer.Argument(metavar="ACCOUNT")]
KeyNameArgument = Annotated[str, typer.Argument(metavar="NAME")]
QuarantineKeyArgument = Annotated[str, typer.Argument(metavar="KEY")]
BackendArgument = Annotated[str, typer.Argument(metavar="BACKEND")]

DEFAULT_TIMEOUT = "2s"
DEFAULT_WAIT = "30s"


class Runner(Protocol):
    """Runs a command to completion; tests substitute one that opens no sockets."""

    def __call__(self, command: Command, url: str, timeout: timedelta) -> Any:
        """Return the result of ``command``, or raise its exception."""


def run_in_reactor(
    command: Command,
    url: str,
    timeout: timedelta,
    open_store: Callable[..., KeyValueStore] = open_key_value_store,
) -> Any:
    """Run a command against the platform at ``url`` over the network.

    ``open_store`` returns the client of its key-value service.
    """
    from twisted.internet import task

    outcomes: list[Any] = []

    def start(reactor: Any) -> Deferred:
        store = open_store(reactor, url, timeout=timeout, name=CLIENT_NAME)
        client = new_http_client(reactor, timeout)
        statuses = HttpStatusClient(reactor, client, timeout)
        operations = Operations(store, statuses, reactor)
        finished = Deferred.fromCoroutine(command(operations))
        return finished.addBoth(outcomes.append)

    try:
        task.react(start)
    except SystemExit:
        if not outcomes:
            raise
    outcome = outcomes[0]
    if hasattr(outcome, "raiseException"):
        outcome.raiseException()
    return outcome


@dataclass(frozen=True, slots=True)
class Target:
    """The platform that a command works on, and how to print its result."""

    url: str
    timeout: timedelta
    json: bool


class Console:
    """Runs commands, prints their results and turns errors into exit codes."""

    def __init__(self, runner: Runner) -> None:
        self._runner = runner

    def run(
        self,
        target: Target,
        call: Callable[[Operations], Deferred],
        wait: timedelta | None = None,
    ) -> None:
        """Run a command on the platform and print its result.

        With ``wait`` also wait up to that long for the change to be in force
        everywhere, and print the rollout. An incomplete rollout exits with
        ``EXIT_FAILURE``.
        """

        async def command(operations: Operations) -> Any:
            result = await call(operations)
            self.show(result, json=target.json)
            if wait is None:
                return result
            rollout = await operations.wait_in_force(result.receipt, wait)
            self.show(rollout, json=target.json)
            return rollout

        try:
            result = self._runner(command, target.url, target.timeout)
        except (CoordinationError, BadFolderError, DeploymentTooLargeError) as error:
            self.fail(error, json=target.json)
        if isinstance(result, Rollout) and not result.complete:
            raise typer.Exit(EXIT_FAILURE)

    def show(self, result: Any, *, json: bool) -> None:
        """Print ``result``."""
        if json:
            typer.echo(reports.json_text(result))
            return
        for line in reports.lines(result):
            typer.echo(line)

    def fail(self, error: Exception, *, json: bool) -> NoReturn:
        """Print ``error`` and exit with its exit code."""
        report = reports.error_report(error)
        if json:
            typer.echo(reports.json_text(report))
        else:
            for line in reports.lines(report):
                typer.echo(line, err=True)
        bad_folder = isinstance(error, BadFolderError)
        raise typer.Exit(EXIT_USAGE if bad_folder else EXIT_FAILURE)


def build_app(runner: Runner = run_in_reactor) -> typer.Typer:
    """Return the command line, with every command run by ``runner``."""
    console = Console(runner)
    app = typer.Typer(
        name="pomeloglade",
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
        help="Operate a fleet of pomeloglade instances.",
    )
    _add_folder_commands(app, console)
    _add_view_commands(app, console)
    _add_backend_commands(app, console)
    app.add_typer(_keys_app(console), name="keys")
    app.add_typer(_quarantine_app(console), name="quarantine")
    return app


def _add_folder_commands(app: typer.Typer, console: Console) -> None:
    @app.command()
    def check(folder: FolderArgument, json: Json = False) -> None:
        """Check a folder and print every error in it."""
        try:
            contents = porcelain.check(folder)
        except BadFolderError as error:
            console.fail(error, json=json)
        console.show(reports.folder_report(contents), json=json)

    @app.command()
    def diff(
        folder: FolderArgument,
        platform_url: PlatformUrl,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """Show what publishing a folder would change."""
        console.run(
            Target(platform_url, platform_timeout, json),
            lambda operations: operations.diff(folder),
        )

    @app.command()
    def publish(
        folder: FolderArgument,
        platform_url: PlatformUrl,
        expected_revision: Annotated[
            int | None,
            typer.Option(min=0, help="Fail unless this revision is the published one."),
        ] = None,
        wait: Wait = False,
        wait_timeout: WaitTimeout = DEFAULT_WAIT,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """Publish a folder."""
        console.run(
            Target(platform_url, platform_timeout, json),
            lambda operations: operations.publish(folder, expected_revision),
            wait_timeout if wait else None,
        )


def _add_view_commands(app: typer.Typer, console: Console) -> None:
    @app.command()
    def show(
        platform_url: PlatformUrl,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """Show the published configuration."""
        console.run(
            Target(platform_url, platform_timeout, json),
            lambda operations: operations.show(),
        )

    @app.command()
    def status(
        platform_url: OptionalPlatformUrl = None,
        instance: Annotated[
            list[str] | None,
            typer.Option(
                parser=parse_peer_address,
                metavar="HOST:PORT",
                help="Ask this instance instead of the platform; may be repeated.",
            ),
        ] = None,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """Show which instances have the published configuration in force."""
        if not platform_url and not instance:
            raise typer.BadParameter("give --platform-url or --instance")
        console.run(
            Target(platform_url or "", platform_timeout, json),
            lambda operations: operations.status(tuple(instance or ())),
        )


def _add_backend_commands(app: typer.Typer, console: Console) -> None:
    def add(name: str, state: str, help_text: str) -> None:
        @app.command(name=name, help=help_text)
        def set_state(
            backend: BackendArgument,
            platform_url: PlatformUrl,
            wait: Wait = False,
            wait_timeout: WaitTimeout = DEFAULT_WAIT,
            platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
            json: Json = False,
        ) -> None:
            console.run(
                Target(platform_url, platform_timeout, json),
                lambda operations: operations.set_backend_state(backend, state),
                wait_timeout if wait else None,
            )

    add("drain", "leaving", "Mark a backend server as leaving.")
    add("join", "serving", "Mark a backend server as serving.")


def _keys_app(console: Console) -> typer.Typer:
    app = typer.Typer(
        no_args_is_help=True, rich_markup_mode=None, help="Create and withdraw keys."
    )

    @app.command()
    def create(
        account: AccountArgument,
        name: KeyNameArgument,
        platform_url: PlatformUrl,
        wait: Wait = False,
        wait_timeout: WaitTimeout = DEFAULT_WAIT,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """Create a key, publish its digest and print the key once."""
        console.run(
            Target(platform_url, platform_timeout, json),
            lambda operations: operations.create_key(account, name),
            wait_timeout if wait else None,
        )

    @app.command()
    def withdraw(
        account: AccountArgument,
        name: KeyNameArgument,
        platform_url: PlatformUrl,
        wait: Wait = False,
        wait_timeout: WaitTimeout = DEFAULT_WAIT,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """Withdraw a key permanently."""
        console.run(
            Target(platform_url, platform_timeout, json),
            lambda operations: operations.withdraw_key(account, name),
            wait_timeout if wait else None,
        )

    return app


def _quarantine_app(console: Console) -> typer.Typer:
    app = typer.Typer(
        no_args_is_help=True,
        rich_markup_mode=None,
        help="List and lift refusals of requests that end backend servers.",
    )

    @app.command(name="list")
    def list_entries(
        platform_url: PlatformUrl,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """List the requests and prompt parts that are refused."""
        console.run(
            Target(platform_url, platform_timeout, json),
            lambda operations: operations.list_quarantine(),
        )

    @app.command()
    def lift(
        key: QuarantineKeyArgument,
        platform_url: PlatformUrl,
        platform_timeout: PlatformTimeout = DEFAULT_TIMEOUT,
        json: Json = False,
    ) -> None:
        """Let calls with a quarantined key be sent again."""
        console.run(
            Target(platform_url, platform_timeout, json),
            lambda operations: operations.lift_quarantine(key),
        )

    return app


def main() -> None:
    """Run the operators' command line."""
    build_app()()


if __name__ == "__main__":
    main()
