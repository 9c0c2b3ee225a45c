"""A TCP proxy whose open channels can go silent while new ones work."""

import asyncio
import contextlib


class Proxy:
    """Passes bytes both ways between callers and one address."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._silent: set[object] = set()
        self._open: dict[object, tuple] = {}
        self._listener = None
        self.host, self.port = "", 0

    @property
    def address(self) -> str:
        """The address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"

    async def listen(self, host: str) -> None:
        """Accept channels."""
        self._listener = await asyncio.start_server(self._serve, host, 0)
        self.host, self.port = host, self._listener.sockets[0].getsockname()[1]

    def silence_open_channels(self) -> int:
        """Pass nothing on any more on the channels that are open; return how many."""
        self._silent |= set(self._open)
        return len(self._open)

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target.rpartition(":")
        channel = object()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._open[channel] = (writer, far_writer)
        try:
            await asyncio.gather(
                self._pass(channel, reader, far_writer),
                self._pass(channel, far_reader, writer),
            )
        finally:
            del self._open[channel]
            self._silent.discard(channel)
            for each in (writer, far_writer):
                with contextlib.suppress(Exception):
                    each.transport.abort()

    async def _pass(self, channel, reader, writer) -> None:
        """Pass bytes on; an end of either side is passed on too, unless silent."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if channel not in self._silent:
                    writer.write(data)
                    await writer.drain()
        if channel not in self._silent:
            writer.close()
