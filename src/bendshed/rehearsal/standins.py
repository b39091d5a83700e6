"""Stand-ins of the platform as HTTP servers: object API, machine list, engine, tool service."""

import asyncio
import base64
import contextlib
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import orjson
from blacksheep import Application, Content, Request, Response, StreamedContent

from bendshed.adapters.http import add_route
from bendshed.adapters.http_server import make_server
from bendshed.adapters.sockets import bind
from bendshed.process import print_addresses
from bendshed.rehearsal.engine_model import Cancelled, EngineModel, EngineParameters, Refused

JSON = b"application/json"
EVENTS = b"text/event-stream"
OCTETS = b"application/octet-stream"


def json_response(status: int, body: object) -> Response:
    """Answer with JSON."""
    return Response(status, None, Content(JSON, orjson.dumps(body)))


def _query(request: Request, name: str, default: str = "") -> str:
    values = request.query.get(name)
    return values[0] if values else default


def _route(request: Request, name: str) -> str:
    return str((request.route_values or {})[name])


@dataclass(slots=True)
class _Object:
    version: int
    content: bytes


class StorePlatform:
    """Object API and machine list in memory."""

    def __init__(self) -> None:
        self.objects: dict[str, _Object] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self._version = 0
        self._changed = asyncio.Event()

    def application(self) -> Application:
        """HTTP routes."""
        application = Application()
        add_route(application, "GET", "/objects/{key}", self._get)
        add_route(application, "PUT", "/objects/{key}", self._put)
        add_route(application, "GET", "/objects", self._list)
        add_route(application, "GET", "/machines", self._machines)
        add_route(application, "PUT", "/machines", self._put_machines)
        add_route(application, "PUT", "/machines/{machine}", self._put_machine)
        return application

    async def _get(self, request: Request) -> Response:
        found = self.objects.get(_route(request, "key"))
        if found is None:
            return Response(404)
        return _object_response(found)

    async def _put(self, request: Request) -> Response:
        key = _route(request, "key")
        content = await request.read() or b""
        found = self.objects.get(key)
        if request.get_first_header(b"If-None-Match") == b"*" and found is not None:
            return Response(412)
        expected = request.get_first_header(b"If-Match")
        if expected is not None and (found is None or expected != f'"{found.version}"'.encode()):
            return Response(412)
        self._version += 1
        self.objects[key] = _Object(self._version, content)
        self._changed.set()
        self._changed = asyncio.Event()
        return _object_response(self.objects[key])

    async def _list(self, request: Request) -> Response:
        prefix, after = _query(request, "prefix"), _query(request, "after")
        wait_s = float(_query(request, "wait", "0"))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while wait_s and not self._matching(prefix, after):
                    await self._changed.wait()
        rows = [
            {
                "key": key,
                "version": found.version,
                "content": base64.b64encode(found.content).decode(),
            }
            for key, found in self._matching(prefix, after)
        ]
        return json_response(200, {"objects": rows})

    def _matching(self, prefix: str, after: str) -> list[tuple[str, _Object]]:
        return [
            (key, self.objects[key])
            for key in sorted(self.objects)
            if key.startswith(prefix) and key > after
        ]

    async def _machines(self, _request: Request) -> Response:
        return json_response(200, {"machines": list(self.machines.values())})

    async def _put_machines(self, request: Request) -> Response:
        self.machines = orjson.loads(await request.read() or b"{}")
        return Response(204)

    async def _put_machine(self, request: Request) -> Response:
        row = orjson.loads(await request.read() or b"{}")
        self.machines[_route(request, "machine")] = row
        return Response(204)


def _object_response(found: _Object) -> Response:
    headers = [(b"ETag", f'"{found.version}"'.encode())]
    return Response(200, headers, Content(OCTETS, found.content))


class EngineServer:
    """HTTP side of an emulated engine."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model

    def application(self) -> Application:
        """HTTP routes."""
        application = Application()
        add_route(application, "POST", "/v1/chat/completions", self._chat)
        add_route(application, "GET", "/v1/streams/{name}", self._resume)
        add_route(application, "DELETE", "/v1/streams/{name}", self._cancel)
        add_route(application, "GET", "/load", self._load)
        add_route(application, "GET", "/kv/holds", self._holds)
        add_route(application, "DELETE", "/kv/holds/{program}", self._release)
        add_route(application, "POST", "/orders", self._order)
        add_route(application, "POST", "/leave", self._leave)
        return application

    async def _chat(self, request: Request) -> Response:
        body = orjson.loads(await request.read() or b"{}")
        try:
            stream = self.model.start(body)
        except Refused as error:
            return json_response(503, {"error": str(error)})
        except Cancelled:
            return json_response(409, {"error": "cancelled"})
        return self._stream(stream)

    def _stream(self, stream: Any) -> Response:
        async def events() -> AsyncIterator[bytes]:
            async for event in self.model.read(stream):
                yield event
            yield b"data: [DONE]\n\n"

        return Response(200, None, StreamedContent(EVENTS, events))

    async def _resume(self, request: Request) -> Response:
        stream = self.model.find(_route(request, "name"))
        return Response(404) if stream is None else self._stream(stream)

    async def _cancel(self, request: Request) -> Response:
        self.model.cancel(_route(request, "name"))
        return Response(204)

    async def _load(self, _request: Request) -> Response:
        return json_response(200, self.model.load())

    async def _holds(self, _request: Request) -> Response:
        return json_response(200, {"programs": list(self.model.holds)})

    async def _release(self, request: Request) -> Response:
        self.model.release(_route(request, "program"))
        return Response(204)

    async def _order(self, request: Request) -> Response:
        body = orjson.loads(await request.read() or b"{}")
        accepted = self.model.order(body["fence"], body["order"], body["argument"])
        return Response(204) if accepted else Response(412)

    async def _leave(self, _request: Request) -> Response:
        self.model.leaving = True
        return Response(204)


class ToolServer:
    """A tool service: answers after the time that the request names, or hangs."""

    def application(self) -> Application:
        """HTTP routes."""
        application = Application()
        add_route(application, "POST", "/tools/{name}", self._run)
        return application

    async def _run(self, request: Request) -> Response:
        body = orjson.loads(await request.read() or b"{}")
        if body.get("hang"):
            await asyncio.Event().wait()
        await asyncio.sleep(float(body.get("seconds", 0)))
        return json_response(200, {"result": f"{_route(request, 'name')} done"})


async def run_standin(kind: str, host: str, port: int, parameters: EngineParameters) -> None:
    """Serve one stand-in until a signal."""
    applications = {
        "platform": lambda: StorePlatform().application(),
        "engine": lambda: EngineServer(EngineModel(parameters)).application(),
        "tool": lambda: ToolServer().application(),
    }
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    listener = bind(host, port)
    server = make_server(applications[kind]())
    serving = loop.create_task(server.serve(sockets=[listener]))
    print_addresses(http_port=listener.getsockname()[1])
    await stopping.wait()
    server.should_exit = True
    server.force_exit = True
    await asyncio.wait([serving], timeout=2.0)
