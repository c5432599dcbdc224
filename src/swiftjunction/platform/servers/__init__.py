"""Requests to backend servers in the platform's protocol."""

from swiftjunction.platform.servers._workers import WorkerClient

__all__ = ['WorkerClient']
