"""Orders of servers for services whose number of servers may change."""

from swiftjunction.scaling._limits import ServiceScaling

__all__ = ['ServiceScaling']
