"""The operators' configuration: its items, its folder and its distribution."""

from endivesill.configuration.folder import Folder, read_folder
from endivesill.configuration.model import (
    Configuration,
    DataCentre,
    Limits,
    Organisation,
    Service,
    Target,
    Vm,
)

__all__ = [
    "Configuration",
    "DataCentre",
    "Folder",
    "Limits",
    "Organisation",
    "Service",
    "Target",
    "Vm",
    "read_folder",
]
