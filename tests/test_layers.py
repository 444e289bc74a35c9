"""Tests that packages import only the packages that the architecture allows."""

import pathlib
import re
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "endivesill"
FOUNDATIONS = {
    "document_reader",
    "duration_buckets",
    "errors",
    "events",
    "findings",
    "histogram",
    "http1",
    "http_peers",
    "ini",
    "kernel",
    "json_array",
    "json_log",
    "json_text",
    "keys",
    "link_peers",
    "metrics",
    "metrics_port",
    "peer_port",
    "peers",
    "placement_client",
    "process_roles",
    "schema",
    "server",
    "settings",
    "signals",
    "stop_signal",
    "supervision",
    "timer",
    "tls",
    "toml_file",
    "value_checks",
}
COMMAND_LINE_TOOL = {"cli", "cli_options", "cli_tools", "porcelain", "presentation"}
ALLOWED = {
    "control": set(),
    "configuration": {"control", "membership"},
    "membership": {"configuration"},
    "targets": {"configuration"},
    "routing": {"configuration", "membership", "targets"},
    "orders": {"configuration", "control", "membership", "targets"},
    "entry": {"configuration", "control", "routing", "targets"},
    "drain": {"configuration", "membership"},
    "fleet_status": {"configuration", "membership"},
    "rollouts": {"control"},
    "fleet": {"control", "rollouts"},
    "forwarding": {"fleet", "rollouts"},
    "platform": {"control", "fleet", "forwarding", "rollouts"},
    "operators": {
        "configuration",
        "control",
        "drain",
        "fleet_status",
        "membership",
    },
    "load": set(),
    "explain": set(),
    "folder_outcomes": {"configuration"},
    **{
        name: {"configuration", "operators", "load", "explain", "platform"}
        | COMMAND_LINE_TOOL
        | {"folder_outcomes"}
        for name in COMMAND_LINE_TOOL
    },
    **{name: set() for name in FOUNDATIONS},
}
UNRESTRICTED = {"assembly", "daemon", "reference", "__main__", "__init__"}
IMPORT = re.compile(r"^from endivesill(?:\.(\w+)[\w.]*)? import (\w[\w, ]*)?", re.M)


def imported_packages(path):
    packages = set()
    for package, names in IMPORT.findall(path.read_text(encoding="utf-8")):
        packages |= {package} if package else set(names.split(", "))
    return packages - {"__version__"}


class LayersTest(unittest.TestCase):
    def test_every_package_imports_only_allowed_packages(self):
        violations = []
        for path in sorted(PACKAGE.rglob("*.py")):
            module_path = path.relative_to(PACKAGE)
            name = module_path.parts[0].removesuffix(".py")
            if name in UNRESTRICTED:
                continue
            forbidden = imported_packages(path) - FOUNDATIONS - ALLOWED[name] - {name}
            violations += [
                f"{module_path} imports {package}" for package in sorted(forbidden)
            ]
        self.assertEqual([], violations)
