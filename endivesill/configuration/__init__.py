"""The operators' configuration: items, folder, replicated state, distribution."""

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
