"""The operator port, an HTTP API for operators, and its client."""

from endivesill.operators.application import OperatorApplication
from endivesill.operators.client import OperatorClient
from endivesill.operators.progress import ConfigurationProgress, Progress
from endivesill.operators.service import OperatorPort
from endivesill.operators.voters import VoterAdministration

__all__ = [
    "ConfigurationProgress",
    "OperatorApplication",
    "OperatorClient",
    "OperatorPort",
    "Progress",
    "VoterAdministration",
]
