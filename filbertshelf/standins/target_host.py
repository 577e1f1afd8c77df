"""A process that hosts many target stand-ins with one admin address."""

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
    """Configuration of a host process."""

    targets: tuple[TargetConfig, ...]
    admin_listen: str = "127.0.0.1:0"
    ready_file: str = ""
    """Path of the JSON file with the bound addresses; empty to write none."""


@attrs.frozen(kw_only=True)
class Addresses:
    """The bound addresses of a host process."""

    admin: str
    targets: Mapping[str, str]


def load_host_config(path: Path) -> HostConfig:
    """Return the configuration from a JSON file.

    Raises `StandinError` if the file is unreadable or malformed.
    """
    try:
        return _CONVERTER.structure(json.loads(path.read_text()), HostConfig)
    except (OSError, ValueError, cattrs.BaseValidationError) as exc:
        remedy = "write it with save_host_config"
        raise StandinError(f"{path} is not a target host file: {exc}", remedy) from exc


def save_host_config(path: Path, cfg: HostConfig) -> None:
    """Write the configuration to a JSON file."""
    path.write_text(json.dumps(_CONVERTER.unstructure(cfg)))


class TargetHost(Service):
    """Runs targets and serves `/admin/...` for all of them.

    The requests and their bodies are `POST /admin/faults` with
    `{"target": name, "faults": {...}}`, `POST /admin/restart` with
    `{"target": name, "down_s": s}`, `POST /admin/versions` with
    `{"target": name, "service": name, "snapshots": [...]}`, and `POST /admin/clear`
    with `{"target": name}`. `target` may be a list; if it is missing, the request
    applies to all targets. `GET /admin/history?target=name` returns
    `{"targets": [...]}`.
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
        addresses = {name: target.address for name, target in self.targets.items()}
        return Addresses(admin=self.admin_address, targets=addresses)

    async def _start_admin(self) -> None:
        app = web.Application(middlewares=[_report_admin_errors], client_max_size=2**26)
        app.router.add_get("/admin/history", self._on_history)
        app.router.add_post("/admin/faults", self._on_faults)
        app.router.add_post("/admin/restart", self._on_restart)
        app.router.add_post("/admin/versions", self._on_versions)
        app.router.add_post("/admin/clear", self._on_clear)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, port = parse_address(self.cfg.admin_listen, lowest_port=0)
        await web.TCPSite(self._runner, host, port).start()
        bound = self._runner.addresses[0]
        self.admin_address = f"{bound[0]}:{bound[1]}"

    def _write_ready_file(self) -> None:
        # The file is renamed into place so that readers never see a partial file.
        path = Path(self.cfg.ready_file)
        partial = path.with_name(path.name + ".part")
        partial.write_text(json.dumps(_CONVERTER.unstructure(self.addresses())))
        partial.replace(path)

    def _select_targets(self, names: object) -> Iterable[TargetStandin]:
        if names is None:
            return list(self.targets.values())
        selected = [names] if isinstance(names, str) else names
        unknown = [name for name in selected if name not in self.targets]
        if unknown:
            raise StandinError(
                f"unknown targets {unknown}", "name targets of this host"
            )
        return [self.targets[name] for name in selected]

    async def _on_history(self, req: web.Request) -> web.Response:
        names = req.query.getall("target", None)
        histories = [target.history() for target in self._select_targets(names)]
        return web.json_response({"targets": _CONVERTER.unstructure(histories)})

    async def _on_faults(self, req: web.Request) -> web.Response:
        body = await req.json()
        faults = _CONVERTER.structure(body.get("faults", {}), Faults)
        for target in self._select_targets(body.get("target")):
            await target.set_faults(faults)
        return web.json_response({})

    async def _on_restart(self, req: web.Request) -> web.Response:
        body = await req.json()
        for target in self._select_targets(body.get("target")):
            target.crash_for(float(body.get("down_s", 0.0)))
        return web.json_response({})

    async def _on_versions(self, req: web.Request) -> web.Response:
        body = await req.json()
        hosted = {"name": body["service"], "snapshots": body["snapshots"]}
        service = _CONVERTER.structure(hosted, HostedService)
        for target in self._select_targets(body.get("target")):
            target.set_snapshots(service)
        return web.json_response({})

    async def _on_clear(self, req: web.Request) -> web.Response:
        body = await req.json() if req.can_read_body else {}
        for target in self._select_targets(body.get("target")):
            target.clear_history()
        return web.json_response({})


@web.middleware
async def _report_admin_errors(req: web.Request, handler: Any) -> web.StreamResponse:
    try:
        return await handler(req)
    except (UserError, ValueError, KeyError, cattrs.BaseValidationError) as exc:
        return web.json_response({"message": repr(exc)}, status=400)
