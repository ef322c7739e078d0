"""Tests of the settings file that the platform writes."""

import pytest

from standins import published_protocol
from trefoilpier import platform

PORTS = published_protocol.VmPorts(
    host="127.0.0.1",
    caller_port=81,
    readiness_port=82,
    first_internal_port=7000,
)


def settings_text(**changes):
    return published_protocol.settings_text(
        name="vm", zone="z", ports=PORTS, store="127.0.0.1:90", **changes
    )


def test_settings_are_parsed():
    boot = platform.parse_boot(settings_text()).ok
    assert (boot.node_id, boot.zone) == ("vm", "z")
    assert (boot.caller_address.host, boot.caller_address.port) == (
        "127.0.0.1",
        81,
    )
    assert boot.peer_ports == (7000, 7015)
    assert (boot.budget.share, boot.budget.allowance) == (0.2, 54)
    assert (boot.drain_s, boot.grace_s, boot.min_lease_s) == (3.0, 6.0, 1.0)


def test_unknown_fields_and_comments_are_ignored():
    assert platform.parse_boot(
        "# note\nnew.field=7\n" + settings_text()
    ).is_ok()


@pytest.mark.parametrize(
    ("old", "new", "expected_error"),
    [
        ("node-name=vm", "node-name=", "node-name is missing"),
        (
            ":81",
            ":x",
            "listen-addrs.frontend is not a host and port: '127.0.0.1:x'",
        ),
        ("7000,7015", "7000", "port-range is not a port range"),
        ("retry-ratio=0.2", "retry-ratio=much", "is not a number"),
    ],
)
def test_invalid_setting_is_reported(old, new, expected_error):
    errors = platform.parse_boot(settings_text().replace(old, new)).error
    assert len(errors) == 1
    assert expected_error in errors[0]


def test_missing_file_is_reported(tmp_path):
    assert "cannot read" in platform.read_boot(str(tmp_path / "no")).error[0]
