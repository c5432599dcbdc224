"""What a decision is based on, and what it says."""

import msgspec

from swiftjunction.scaling import _demand
from swiftjunction.scaling import _limits
from swiftjunction.scaling import _supply


class PlacedOrder(msgspec.Struct, frozen=True):
    """The last order of one subject.

    Attributes
    ----------
    servers : int
        The number of servers that was ordered.
    at : float
        When it was last sent, in seconds on the caller's clock.
    is_open : bool
        Whether the platform may still carry it out later than another one.
    """

    servers: int
    at: float
    is_open: bool = False


class Situation(msgspec.Struct, frozen=True):
    """All that a decision is based on.

    Attributes
    ----------
    target : int
        The servers that the service is to have, as decided before; 0 if
        nothing has been decided yet.
    orders : dict of Subject to PlacedOrder
        The last order of each subject.
    refused_until : dict of Subject to float
        Until when no server is to be ordered for a subject.
    decreased_at : float
        When a server was last given up.
    may_decrease : bool
        Whether all demand for the service is known.
    now : float
        All times are in seconds on one clock.
    """

    limits: _limits.ServiceScaling
    supply: _supply.Supply
    need: _demand.Need
    now: float
    target: int = 0
    orders: dict[_supply.Subject, PlacedOrder] = {}
    refused_until: dict[_supply.Subject, float] = {}
    decreased_at: float = _supply.NEVER
    may_decrease: bool = False


class Placement(msgspec.Struct, frozen=True):
    """Servers to order for one subject.

    Attributes
    ----------
    servers : int
        The number of servers that it is to have.
    change : int
        How many more these are than before.
    reason : str
        ``replace``, ``late_steps``, ``too_few`` or ``little_to_do``.
    """

    subject: _supply.Subject
    servers: int
    change: int
    reason: str


class Decision(msgspec.Struct, frozen=True):
    """The orders to send, and the number of servers they aim at."""

    target: int
    placements: list[Placement] = []
