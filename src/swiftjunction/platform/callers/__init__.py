"""Requests from callers and trainers in the platform's protocol."""

from swiftjunction.platform.callers._batch_calls import BatchCalls
from swiftjunction.platform.callers._caller_bodies import CallerBodies
from swiftjunction.platform.callers._ingress import Ingress
from swiftjunction.platform.callers._ingress import IngressApp
from swiftjunction.platform.callers._keys import CallerIdentification

__all__ = [
    'BatchCalls',
    'CallerBodies',
    'CallerIdentification',
    'Ingress',
    'IngressApp',
]
