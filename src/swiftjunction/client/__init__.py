"""Client library for callers and trainers.

>>> from swiftjunction import client
>>> async with client.CallerClient(['127.0.0.11:8080']) as caller:
...     completion = await caller.complete(
...         'association/riders', 'Is dinner...'
...     )
"""

from swiftjunction.client._caller import CallerClient
from swiftjunction.client._caller import Completion
from swiftjunction.client._trainer import DeliveredSample
from swiftjunction.client._trainer import TrainerClient

__all__ = [
    'CallerClient',
    'Completion',
    'DeliveredSample',
    'TrainerClient',
]
