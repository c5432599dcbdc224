"""Calls to the platform that one VM at a time makes."""

from swiftjunction.duties._api import DutyApi
from swiftjunction.duties._api import ServerOrder
from swiftjunction.duties._api import UsageReport
from swiftjunction.duties._scaling import ScalingDuty

__all__ = ['DutyApi', 'ScalingDuty', 'ServerOrder', 'UsageReport']
