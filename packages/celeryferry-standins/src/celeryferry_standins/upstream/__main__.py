"""Process that runs one or more stand-in upstreams."""

import argparse
import tomllib
from pathlib import Path

import msgspec
from aiohttp import web

from celeryferry_standins.serving import (
    Listener,
    json_response,
    run_until_stopped,
    wait_for_termination,
    write_ready_file,
)
from celeryferry_standins.upstream.behaviour import ProcessReady, ProcessSpec
from celeryferry_standins.upstream.server import UpstreamServer


class UpstreamProcess:
    """All stand-in upstreams of this process and their control listener.

    :param spec: the upstreams.
    """

    def __init__(self, spec: ProcessSpec):
        self._spec = spec
        journals = [
            Path(name) if name else None for name in (spec.journal, spec.search_journal)
        ]
        self._servers = {
            upstream.name: UpstreamServer(upstream, seed, *journals)
            for seed, upstream in enumerate(spec.upstreams)
        }
        self._control = Listener(self._handle)

    async def open(self) -> ProcessReady:
        """Open every listener.

        :returns: the actual addresses.
        """
        addresses = {
            name: await server.open() for name, server in self._servers.items()
        }
        control_address = await self._control.open(self._spec.control_address)
        return ProcessReady(control_address, addresses)

    async def close(self) -> None:
        """Close every listener."""
        for server in self._servers.values():
            await server.close()
        await self._control.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        upstream_name = request.query.get("upstream")
        if upstream_name is not None and upstream_name not in self._servers:
            return json_response({"error": f"no upstream {upstream_name!r}"}, 404)
        servers = (
            [self._servers[upstream_name]]
            if upstream_name
            else list(self._servers.values())
        )
        match request.method, request.path:
            case "POST", "/control":
                return self._apply(servers, await request.read())
            case "GET", "/counters":
                counters = {server.name: server.engine.counters for server in servers}
                return json_response(counters)
        return json_response({"error": "not found"}, 404)

    def _apply(self, servers: list[UpstreamServer], body: bytes) -> web.Response:
        try:
            patch = msgspec.json.decode(body, type=dict)
            for server in servers:
                server.engine.apply(patch)
        except msgspec.MsgspecError as error:
            return json_response({"error": str(error)}, 400)
        return json_response({"changed": [server.name for server in servers]})


def read_spec(path: Path) -> ProcessSpec:
    """Read the upstreams of a process from a TOML or JSON file.

    :param path: file to read; its suffix selects the format.
    :returns: the validated content.
    """
    text = path.read_text()
    if path.suffix == ".toml":
        return msgspec.convert(tomllib.loads(text), ProcessSpec)
    return msgspec.json.decode(text, type=ProcessSpec)


async def run(spec_file: Path, ready_file: Path) -> None:
    """Serve until SIGTERM or SIGINT.

    :param spec_file: the upstreams.
    :param ready_file: file to write once every listener is open.
    """
    process = UpstreamProcess(read_spec(spec_file))
    write_ready_file(ready_file, await process.open())
    await wait_for_termination()
    await process.close()


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path, required=True)
    parser.add_argument("--ready", type=Path, required=True)
    arguments = parser.parse_args()
    run_until_stopped(run(arguments.spec, arguments.ready))


if __name__ == "__main__":
    main()
