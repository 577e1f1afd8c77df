"""Many target stand-ins in one process, with one admin address."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs
import cattrs
from aiohttp import web
from mode import Service

from filbertshelf.addresses import parse_address
from filbertshelf.clock import Clock
from filbertshelf.errors import StandinError, UserError
from filbertshelf.standins.target import TargetStandin
from filbertshelf.standins.target_config import (
    Faults,
    HostedService,
    TargetConfig,
)

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen(kw_only=True)
class HostConfig:
    """The targets of one process and where it reports their addresses."""

    targets: tuple[TargetConfig, ...]
    admin_listen: str = "127.0.0.1:0"
    ready_file: str = ""
    """Path of the JSON file that gets the bound addresses; empty for none."""


@attrs.frozen(kw_only=True)
class Addresses:
    """The bound addresses of a host process."""

    admin: str
    targets: Mapping[str, str]


def load_host_config(path: Path) -> HostConfig:
    """Return the configuration in the JSON file.

    Raises `StandinError` if the file can't be read or has another shape.
    """
    try:
        return _CONVERTER.structure(json.loads(path.read_text()), HostConfig)
    except (OSError, ValueError, cattrs.BaseValidationError) as exc:
        remedy = "write it with save_host_config"
        raise StandinError(f"{path} is not a target host file: {exc}", remedy) from exc


def save_host_config(path: Path, cfg: HostConfig) -> None:
    """Write the configuration to the JSON file."""
    path.write_text(json.dumps(_CONVERTER.unstructure(cfg)))


class TargetHost(Service):
    """Runs targets and serves `/admin/...` for all of them.

    `POST /admin/faults` takes `{"target": name, "faults": {...}}`,
    `POST /admin/restart` `{"target": name, "down_s": s}`, `POST /admin/versions`
    `{"target": name, "service": name, "snapshots": [...]}` and `POST /admin/clear`
    `{"target": name}`. `target` may be a list; without it all targets are meant.
    `GET /admin/history?target=name` returns `{"targets": [...]}`.
    """

    def __init__(self, cfg: HostConfig, clock: Clock):
        super().__init__()
        self.cfg = cfg
        self.targets = {
            target.name: TargetStandin(target, clock) for target in cfg.targets
        }
        self.admin_address = ""
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Start all targets and the admin server, then write the ready file."""
        for target in self.targets.values():
            await target.start()
        await self._start_admin()
        if self.cfg.ready_file:
            self._write_ready_file()

    async def on_stop(self) -> None:
        """Stop the admin server and all targets."""
        if self._runner is not None:
            await self._runner.cleanup()
        for target in self.targets.values():
            await target.stop()

    def addresses(self) -> Addresses:
        """Return the bound addresses."""
        found = {name: target.address for name, target in self.targets.items()}
        return Addresses(admin=self.admin_address, targets=found)

    async def _start_admin(self) -> None:
        app = web.Application(middlewares=[_admin_errors], client_max_size=2**26)
        app.router.add_get("/admin/history", self._history)
        app.router.add_post("/admin/faults", self._faults)
        app.router.add_post("/admin/restart", self._restart)
        app.router.add_post("/admin/versions", self._versions)
        app.router.add_post("/admin/clear", self._clear)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, port = parse_address(self.cfg.admin_listen, lowest_port=0)
        await web.TCPSite(self._runner, host, port).start()
        bound = self._runner.addresses[0]
        self.admin_address = f"{bound[0]}:{bound[1]}"

    def _write_ready_file(self) -> None:
        # Written under another name first, so that a reader never sees half a file.
        path = Path(self.cfg.ready_file)
        part = path.with_name(path.name + ".part")
        part.write_text(json.dumps(_CONVERTER.unstructure(self.addresses())))
        part.replace(path)

    def _selected(self, names: object) -> Iterable[TargetStandin]:
        if names is None:
            return list(self.targets.values())
        wanted = [names] if isinstance(names, str) else names
        missing = [name for name in wanted if name not in self.targets]
        if missing:
            raise StandinError(f"no target {missing}", "name a target of this host")
        return [self.targets[name] for name in wanted]

    async def _history(self, req: web.Request) -> web.Response:
        names = req.query.getall("target", None)
        found = [target.history() for target in self._selected(names)]
        return web.json_response({"targets": _CONVERTER.unstructure(found)})

    async def _faults(self, req: web.Request) -> web.Response:
        body = await req.json()
        faults = _CONVERTER.structure(body.get("faults", {}), Faults)
        for target in self._selected(body.get("target")):
            await target.set_faults(faults)
        return web.json_response({})

    async def _restart(self, req: web.Request) -> web.Response:
        body = await req.json()
        for target in self._selected(body.get("target")):
            target.crash_for(float(body.get("down_s", 0.0)))
        return web.json_response({})

    async def _versions(self, req: web.Request) -> web.Response:
        body = await req.json()
        hosted = {"name": body["service"], "snapshots": body["snapshots"]}
        service = _CONVERTER.structure(hosted, HostedService)
        for target in self._selected(body.get("target")):
            target.set_snapshots(service)
        return web.json_response({})

    async def _clear(self, req: web.Request) -> web.Response:
        body = await req.json() if req.can_read_body else {}
        for target in self._selected(body.get("target")):
            target.clear_history()
        return web.json_response({})


@web.middleware
async def _admin_errors(req: web.Request, handler: Any) -> web.StreamResponse:
    try:
        return await handler(req)
    except (UserError, ValueError, KeyError, cattrs.BaseValidationError) as exc:
        return web.json_response({"message": repr(exc)}, status=400)
