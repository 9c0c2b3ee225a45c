"""Command line of the stand-ins."""

import sys
from typing import Annotated

import typer
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.server import Site

from .engine import DEFAULT_PIECES, DEFAULT_SLOTS, EngineSpeed, EngineStandIn
from .key_value import run_key_value
from .plain_service import PlainServiceStandIn

app = typer.Typer(add_completion=False, rich_markup_mode=None)

Host = Annotated[str, typer.Option(help="IP address to listen on.")]
Port = Annotated[int, typer.Option(help="Port; 0 picks a free one.")]


@app.command()
def platform(host: Host = "127.0.0.1", port: Port = 0) -> None:
    """Run the key-value service."""
    run_key_value(reactor, host, port).addCallback(_announce)
    reactor.run()


@app.command()
def engine(
    host: Host = "127.0.0.1",
    port: Port = 0,
    pieces: Annotated[
        int, typer.Option(help="Blocks of KV cache memory.")
    ] = DEFAULT_PIECES,
    slots: Annotated[int, typer.Option(help="Concurrent requests.")] = DEFAULT_SLOTS,
    prefill_us: Annotated[
        float, typer.Option(help="Microseconds per prompt token.")
    ] = 50.0,
    decode_us: Annotated[
        float, typer.Option(help="Microseconds per output token.")
    ] = 2000.0,
) -> None:
    """Run a model engine."""
    speed = EngineSpeed(prefill_us / 1e6, decode_us / 1e6)
    stand_in = EngineStandIn(reactor, pieces=pieces, slots=slots, speed=speed)
    _listen(host, port, stand_in.site())


@app.command()
def plain(
    host: Host = "127.0.0.1",
    port: Port = 0,
    name: Annotated[str, typer.Option(help="Name in its responses.")] = "plain",
) -> None:
    """Run a plain service."""
    _listen(host, port, PlainServiceStandIn(name).site())


def _listen(host: str, port: int, site: Site) -> None:
    endpoint = TCP4ServerEndpoint(reactor, port, interface=host)
    listening: Deferred = endpoint.listen(site)
    listening.addCallback(lambda listener: _announce(listener.getHost().port))
    reactor.run()


def _announce(port: int) -> None:
    sys.stdout.write(f'{{"message_type": "stand-in:listening", "port": {port}}}\n')
    sys.stdout.flush()


if __name__ == "__main__":
    app()
