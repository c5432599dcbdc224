"""Placement policies: decide which engines move to which models."""

import abc
import collections.abc

import msgspec

# At a load of 1 the batch of an engine is full; above 1, requests queue.
HIGH_LOAD = 0.9
# Largest mean load that a donor model may have after giving up an engine.
MAX_DONOR_LOAD = 0.6
# How long the load must stay high before an engine is moved.
MIN_HIGH_LOAD_SECONDS = 60.0
UNLIMITED_SERVERS = 1_000_000


class ModelLimits(msgspec.Struct, frozen=True):
    """How many engines a model may have, and its priority.

    Attributes
    ----------
    least, most : int
        Number of engines that moves never go below or above.
    share : float
        Priority among models that lack equally many engines; the larger one
        gets an engine first.
    """

    model: str
    least: int = 1
    most: int = UNLIMITED_SERVERS
    share: float = 1.0


class PlannedEngine(msgspec.Struct, frozen=True):
    """The reported and the planned state of one engine.

    Attributes
    ----------
    model : str
        The model that it reports.
    planned : str
        The model that the plan assigns to it.
    is_serving : bool
        Whether it is live and has weights loaded.
    load : float
        Reported load; 1 when its batch is full.
    """

    name: str
    model: str
    planned: str
    is_serving: bool = True
    load: float = 0.0


class Move(msgspec.Struct, frozen=True):
    """The reassignment of one engine to a model."""

    engine: str
    model: str


class PlacementPolicy(abc.ABC):
    """Decides which engines move between models."""

    __slots__ = ()

    @abc.abstractmethod
    def decide(
        self,
        model_limits: collections.abc.Sequence[ModelLimits],
        engines: collections.abc.Sequence[PlannedEngine],
        now: float,
    ) -> list[Move]:
        """Return the moves to make now.

        Each model takes part in at most one of them.
        """


class DemandPolicy(PlacementPolicy):
    """Fills each model to its minimum, then follows demand with hysteresis.

    A model takes part in a move only while none of its engines is changing
    models. A model with two engines therefore never loses both at once, and
    each move is decided on the load that results from the previous one.
    """

    __slots__ = ('_high_load_since',)

    def __init__(self) -> None:
        self._high_load_since: dict[str, float] = {}

    def decide(
        self,
        model_limits: collections.abc.Sequence[ModelLimits],
        engines: collections.abc.Sequence[PlannedEngine],
        now: float,
    ) -> list[Move]:
        groups = [_Group(limits, engines) for limits in model_limits]
        self._track_high_load(groups, now)
        receivers = sorted(
            (g for g in groups if self._needs_engine(g, now)),
            key=lambda g: (-g.shortage, -g.limits.share, g.limits.model),
        )
        moves: list[Move] = []
        used: set[str] = set()
        for receiver in receivers:
            if receiver.limits.model in used:
                continue
            donor = self._choose_donor(receiver, groups, used)
            if donor is None:
                continue
            used |= {receiver.limits.model, donor.limits.model}
            self._high_load_since.pop(receiver.limits.model, None)
            moves.append(
                Move(donor.choose_engine_to_move().name, receiver.limits.model)
            )
        return moves

    def _track_high_load(
        self, groups: collections.abc.Iterable['_Group'], now: float
    ) -> None:
        for group in groups:
            if group.compute_mean_load(0) >= HIGH_LOAD:
                self._high_load_since.setdefault(group.limits.model, now)
            else:
                self._high_load_since.pop(group.limits.model, None)

    def _needs_engine(self, group: '_Group', now: float) -> bool:
        if group.is_changing:
            return False
        if group.shortage > 0:
            return True
        since = self._high_load_since.get(group.limits.model, now)
        return (
            now - since >= MIN_HIGH_LOAD_SECONDS
            and group.planned < group.limits.most
        )

    def _choose_donor(
        self,
        receiver: '_Group',
        groups: collections.abc.Iterable['_Group'],
        used: set[str],
    ) -> '_Group | None':
        candidates = [
            g
            for g in groups
            if g.limits.model not in used | {receiver.limits.model}
            and g.can_donate()
            # A receiver below its minimum gets an engine whatever the load.
            and (
                receiver.shortage > 0
                or g.compute_mean_load(-1) <= MAX_DONOR_LOAD
            )
        ]
        return min(
            candidates,
            key=lambda g: (g.compute_mean_load(-1), g.limits.model),
            default=None,
        )


class _Group:
    """The engines planned for one model."""

    __slots__ = ('_serving', 'is_changing', 'limits', 'planned')

    def __init__(
        self,
        limits: ModelLimits,
        engines: collections.abc.Iterable[PlannedEngine],
    ) -> None:
        own = [e for e in engines if e.planned == limits.model]
        self.limits = limits
        self.planned = len(own)
        self._serving = [
            e for e in own if e.is_serving and e.model == limits.model
        ]
        self.is_changing = any(
            e.model != e.planned and limits.model in (e.model, e.planned)
            for e in engines
        )

    @property
    def shortage(self) -> int:
        """Return by how many engines the model is below its minimum."""
        return max(self.limits.least - self.planned, 0)

    def compute_mean_load(self, change: int) -> float:
        """Return the mean load after adding `change` serving engines."""
        count = len(self._serving) + change
        if count <= 0:
            return 0.0 if not self._serving else float('inf')
        return sum(e.load for e in self._serving) / count

    def can_donate(self) -> bool:
        """Return whether the model can give up a serving engine."""
        return (
            not self.is_changing
            and bool(self._serving)
            and len(self._serving) - 1 >= self.limits.least
        )

    def choose_engine_to_move(self) -> PlannedEngine:
        """Return the least loaded serving engine."""
        return min(self._serving, key=lambda e: (e.load, e.name))
