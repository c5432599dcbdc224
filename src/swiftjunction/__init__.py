"""A rollout service for reinforcement learning.

The public surface for users is :mod:`swiftjunction.client` and
:mod:`swiftjunction.errors`; everything else serves the daemons.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
