"""The admin API of a process that hosts many targets."""

import aiohttp
import attrs
import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.errors import StandinError
from filbertshelf.protocol import target as api
from filbertshelf.standins.deployments import HATSTAND
from filbertshelf.standins.profiles import scale_profile, target_configs
from filbertshelf.standins.target_config import Faults
from filbertshelf.standins.target_host import (
    HostConfig,
    TargetHost,
    load_host_config,
    save_host_config,
)


@pytest.fixture
async def host(tmp_path):
    targets = target_configs(scale_profile(HATSTAND, 0.04))
    path = tmp_path / "host.json"
    ready = tmp_path / "ready.json"
    cfg = HostConfig(targets=targets, ready_file=str(ready))
    save_host_config(path, cfg)
    loaded = load_host_config(path)
    assert loaded == cfg
    running = TargetHost(loaded, SystemClock())
    async with running:
        assert running.admin_address in ready.read_text()
        yield running


@pytest.fixture
async def admin(host):
    async with aiohttp.ClientSession(f"http://{host.admin_address}") as session:

        async def send(verb, body):
            async with session.post(f"/admin/{verb}", json=body) as resp:
                return resp.status

        send.session = session
        yield send


async def search(host, name, session):
    headers = {api.REQUEST_ID: "r1", api.INDEX_VERSION: "v1", api.GENERATION: "1"}
    path = api.work_path(name.partition("-leaf")[0], "s0", "search")
    url = f"http://{host.targets[name].address}{path}"
    async with aiohttp.request("POST", url, json={"query": {}}, headers=headers) as r:
        return r.status


async def test_faults_and_histories_are_per_target(host, admin):
    first, second = "quote-00-leaf-0", "quote-01-leaf-0"
    fault = {"target": first, "faults": attrs.asdict(Faults(fail_fast=True))}
    assert await admin("faults", fault) == 200
    assert await search(host, first, admin.session) == 500
    assert await search(host, second, admin.session) == 200
    async with admin.session.get("/admin/history", params={"target": second}) as resp:
        (history,) = (await resp.json())["targets"]
    assert [run["request_id"] for run in history["executions"]] == ["r1"]
    assert await admin("clear", {}) == 200
    assert not host.targets[second].history().executions


async def test_snapshots_can_be_replaced_and_targets_restarted(host, admin):
    name = "quote-00-leaf-0"
    snapshot = {"index_version": "v2", "generation": 2, "shards": ["s0"]}
    body = {"target": name, "service": "quote-00", "snapshots": [snapshot]}
    assert await admin("versions", body) == 200
    assert await search(host, name, admin.session) == 409
    assert await admin("restart", {"target": [name], "down_s": 60}) == 200
    assert not host.targets[name].listening


@pytest.mark.parametrize(
    ("verb", "body"),
    [
        ("faults", {"target": "nobody", "faults": {}}),
        ("faults", {"faults": {"stragle": 2}}),
        ("versions", {"service": "quote-00"}),
    ],
)
async def test_a_malformed_admin_request_changes_nothing(host, admin, verb, body):
    assert await admin(verb, body) == 400
    assert all(target.faults == Faults() for target in host.targets.values())


def test_a_malformed_host_file_is_refused(tmp_path):
    path = tmp_path / "host.json"
    path.write_text('{"target": []}')
    with pytest.raises(StandinError):
        load_host_config(path)
