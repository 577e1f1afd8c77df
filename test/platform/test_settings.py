"""Decoding of the settings file that the platform writes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys

import pytest

from filbertshelf.errors import SettingsError
from filbertshelf.platform.settings import (
    load_gateway_settings,
    parse_gateway_settings,
)


def settings() -> dict:
    """Return a document with every used field and some unknown ones."""
    return {
        "node": "front-qld-south-a-1",
        "role": "gateway",
        "zone": "qld-south-a",
        "ip": "10.1.0.9",
        "seeds": ["10.1.0.9:8106", "10.2.0.21:8106"],
        "listen": {
            "front": "10.1.0.9:8104",
            "ready": "10.1.0.9:8108",
            "control": "10.1.0.9:8106",
        },
        "bounds": {
            "graceS": 6,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetMinRetries": 129,
        },
        "limits": {"cpuShare": 0.5, "cores": 2, "linkMbps": 100.0},
        "platform": {"address": "10.200.1.7:8102", "form": "read"},
        "somethingNew": {"a": [1]},
        "zones": {"qld-south-a": "qld", "elsewhere": 7},
    }


def test_known_fields_are_decoded_and_unknown_ones_ignored():
    cfg = parse_gateway_settings(settings())
    assert cfg.instance.name == "front-qld-south-a-1"
    assert cfg.instance.data_centre == "qld-south-a"
    assert cfg.instance.peer_listen == ("10.1.0.9", 8106)
    assert cfg.instance.peers == (("10.2.0.21", 8106),)
    assert cfg.listen == ("10.1.0.9", 8104)
    assert cfg.retries.slack == 129.0
    assert cfg.stop_grace_s == 6.0
    assert cfg.shard_cost_us == 400
    assert cfg.regions == {"qld-south-a": "qld"}
    assert (cfg.memory_bytes, cfg.max_descriptors) == (0, 0)


@pytest.mark.parametrize("zones", [None, ["qld-south-a"], "qld", {"a": {"b": "c"}}])
def test_settings_without_a_usable_table_of_regions_are_valid(zones):
    # Guards against older settings that an upgraded gateway refuses.
    cfg = parse_gateway_settings({**settings(), "zones": zones})
    assert cfg.regions == {}


def test_the_bound_on_cold_targets_is_optional():
    # Guards against an earlier deployment whose settings are refused.
    cold = parse_gateway_settings(settings()).cold
    assert (cold.overage, cold.slack) == (1.5, 5.0)
    doc = settings()
    doc["bounds"] |= {"coldOverage": 1.2, "coldSlack": 3}
    cold = parse_gateway_settings(doc).cold
    assert (cold.overage, cold.slack) == (1.2, 3.0)
    doc["bounds"]["coldSlack"] = "3"
    with pytest.raises(SettingsError) as caught:
        parse_gateway_settings(doc)
    assert [problem.where for problem in caught.value.problems] == ["bounds.coldSlack"]


def test_the_machine_s_memory_and_descriptors_are_read():
    doc = settings()
    doc["limits"] |= {"memoryMb": 152, "maxFds": 1_535}
    cfg = parse_gateway_settings(doc)
    assert (cfg.memory_bytes, cfg.max_descriptors) == (152_000_000, 1_535)


def test_all_problems_are_reported_together():
    doc = settings()
    del doc["node"]
    doc["listen"]["front"] = "nowhere"
    doc["bounds"]["graceS"] = "6"
    with pytest.raises(SettingsError) as caught:
        parse_gateway_settings(doc)
    assert [problem.where for problem in caught.value.problems] == [
        "listen.front",
        "node",
        "bounds.graceS",
    ]


def test_a_file_that_is_not_toml_is_a_settings_error(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text("node = ")
    with pytest.raises(SettingsError):
        load_gateway_settings(path)


def test_invalid_settings_end_the_program_with_a_message(tmp_path):
    # Guards against a traceback instead of a message that names the field.
    path = tmp_path / "settings.toml"
    path.write_text('node = "a"\n')
    env = {**os.environ, "FILBERTSHELF_SETTINGS": str(path)}
    command = [sys.executable, "-m", "filbertshelf.platform"]
    result = subprocess.run(
        command, env=env, capture_output=True, timeout=30, text=True
    )
    assert result.returncode == SettingsError.exit_code
    assert "listen.front" in result.stderr
    assert "Traceback" not in result.stderr


def test_a_reload_signal_while_modules_load_does_not_end_the_process(tmp_path):
    # Guards against the default action of SIGHUP, which would end the process if the
    # signal arrived while modules are being imported.
    path = tmp_path / "settings.toml"
    path.write_text('node = "a"\n')
    env = {**os.environ, "FILBERTSHELF_SETTINGS": str(path)}
    command = [sys.executable, "-X", "importtime", "-m", "filbertshelf.platform"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True) as proc:
        for line in proc.stderr:
            if "uvloop" in line:
                proc.send_signal(signal.SIGHUP)
                break
        proc.stderr.read()
    assert proc.returncode == SettingsError.exit_code


@pytest.mark.parametrize(
    "number",
    [
        pytest.param(10**400, id="400 digits"),
        pytest.param(10**5000, id="5000 digits"),
        float("inf"),
        float("nan"),
    ],
)
@pytest.mark.parametrize("path", [("bounds", "graceS"), ("limits", "linkMbps")])
def test_a_number_out_of_range_is_a_problem_of_the_settings(path, number):
    # Guards against settings that end a running gateway instead of being refused.
    doc = settings()
    section, name = path
    doc[section][name] = number
    with pytest.raises(SettingsError) as caught:
        parse_gateway_settings(doc)
    assert [problem.where for problem in caught.value.problems] == [f"{section}.{name}"]
