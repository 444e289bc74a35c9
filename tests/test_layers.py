"""Tests that packages import only what the architecture page allows."""

import pathlib
import re
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "endivesill"
FOUNDATIONS = {
    "errors",
    "events",
    "findings",
    "histogram",
    "http1",
    "http_peers",
    "ini",
    "kernel",
    "json_log",
    "keys",
    "link_peers",
    "metrics",
    "peer_port",
    "peers",
    "schema",
    "server",
    "settings",
    "signals",
    "supervision",
    "timer",
    "tls",
}
TOOL = {"cli", "cli_options", "cli_tools", "porcelain", "presentation"}
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
    "fleet": {"control"},
    "forwarding": {"fleet"},
    "platform": {"control", "fleet", "forwarding"},
    "operators": {
        "configuration",
        "control",
        "drain",
        "fleet_status",
        "membership",
    },
    "load": set(),
    "explain": set(),
    **{
        name: {"configuration", "operators", "load", "explain", "platform"} | TOOL
        for name in TOOL
    },
    **{name: set() for name in FOUNDATIONS},
}
UNBOUND = {"assembly", "daemon", "reference", "__main__", "__init__"}
IMPORT = re.compile(r"^from endivesill(?:\.(\w+)[\w.]*)? import (\w[\w, ]*)?", re.M)


def imports(path):
    found = set()
    for package, names in IMPORT.findall(path.read_text(encoding="utf-8")):
        found |= {package} if package else set(names.split(", "))
    return found - {"__version__"}


class LayersTest(unittest.TestCase):
    def test_every_package_imports_only_what_its_layer_may(self):
        wrong = []
        for path in sorted(PACKAGE.rglob("*.py")):
            place = path.relative_to(PACKAGE)
            name = place.parts[0].removesuffix(".py")
            if name in UNBOUND:
                continue
            extra = imports(path) - FOUNDATIONS - ALLOWED[name] - {name}
            wrong += [f"{place} imports {package}" for package in sorted(extra)]
        self.assertEqual([], wrong)
