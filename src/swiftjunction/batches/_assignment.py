"""Allocates engines to models whose weights they keep up to date.

Engines that hold several models could update all of them. But loading weights
takes engine time, and with several trainers the engines would do little else.
So if there are more engines than models, each engine updates only one model,
and the engines are allocated in proportion to the demand for each model.
"""

import collections.abc

from swiftjunction.batches import _engines

# The quota of a model changes only if it differs from the proportional share
# by more than this, so that engines do not switch models at every training
# step.
HYSTERESIS_ENGINES = 0.75


class EngineAllocator:
    """Allocates the engines of a service to its models.

    Attributes
    ----------
    demand : dict of str to float
        Expected tokens of all batches that this process has opened, by model.
    """

    __slots__ = ('_engine_count', '_quotas', 'demand')

    def __init__(self) -> None:
        self._quotas: dict[str, int] = {}
        self._engine_count = 0
        self.demand: dict[str, float] = {}

    def record_demand(self, model: str, tokens: float) -> None:
        """Add the expected tokens of a batch to the demand for its model."""
        self.demand[model] = self.demand.get(model, 0.0) + tokens

    def allocate(
        self,
        engines: collections.abc.Sequence[_engines.EngineState],
        target_versions: collections.abc.Mapping[str, int],
    ) -> dict[str, list[_engines.EngineState]]:
        """Return the engines allocated to each model.

        If there are no more engines than models, each model gets all of them.

        Parameters
        ----------
        target_versions : mapping of str to int
            The version that each model is to be updated to.
        """
        models = sorted(target_versions)
        if len(engines) <= len(models) or len(models) < 2:
            return {model: list(engines) for model in models}
        quotas = self._update_quotas(models, len(engines))
        allocation: dict[str, list[_engines.EngineState]] = {
            m: [] for m in models
        }
        # Engines closest to the target version of a model stay with it.
        pairs = sorted(
            (target_versions[model] - engine.get_version(model), index, model)
            for index, engine in enumerate(engines)
            for model in models
        )
        allocated: set[int] = set()
        for _, index, model in pairs:
            if index in allocated or len(allocation[model]) >= quotas[model]:
                continue
            allocated.add(index)
            allocation[model].append(engines[index])
        return allocation

    def _update_quotas(
        self, models: list[str], engine_count: int
    ) -> dict[str, int]:
        total = sum(self.demand.get(model, 0.0) for model in models)
        shares = {
            model: engine_count * self.demand.get(model, 0.0) / total
            if total
            else engine_count / len(models)
            for model in models
        }
        if self._is_near_quotas(shares, engine_count):
            return self._quotas
        self._quotas = _round_shares(shares, engine_count)
        self._engine_count = engine_count
        return self._quotas

    def _is_near_quotas(
        self, shares: dict[str, float], engine_count: int
    ) -> bool:
        return (
            engine_count == self._engine_count
            and self._quotas.keys() == shares.keys()
            and all(
                abs(self._quotas[model] - share) <= HYSTERESIS_ENGINES
                for model, share in shares.items()
            )
        )


def _round_shares(
    shares: dict[str, float], engine_count: int
) -> dict[str, int]:
    """Return integers that add up to `engine_count`, each at least one."""
    quotas = {model: max(int(share), 1) for model, share in shares.items()}
    while sum(quotas.values()) < engine_count:
        model = max(quotas, key=lambda m: shares[m] - quotas[m])
        quotas[model] += 1
    while sum(quotas.values()) > engine_count:
        model = max(
            quotas, key=lambda m: (quotas[m] > 1, quotas[m] - shares[m])
        )
        quotas[model] -= 1
    return quotas
