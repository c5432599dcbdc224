"""Derives the engine limits of each model from the path settings."""

from swiftjunction import configuration
from swiftjunction.placement import _policy


def list_model_limits(tree: configuration.Tree) -> list[_policy.ModelLimits]:
    """Return the limits of each model for which a path sets any.

    Where paths of different teams name one model, the largest of each limit
    applies and their shares are summed. A model for which no path sets a limit
    neither gains nor loses engines.
    """
    limits: dict[str, _policy.ModelLimits] = {}
    for settings in tree.list_paths().values():
        model = settings.model
        if not model or (
            settings.least_servers is None and settings.most_servers is None
        ):
            continue
        found = _policy.ModelLimits(
            model,
            settings.least_servers or 1,
            settings.most_servers or _policy.UNLIMITED_SERVERS,
            settings.share or 1.0,
        )
        existing = limits.get(model)
        if existing is not None:
            found = _policy.ModelLimits(
                model,
                max(existing.least, found.least),
                max(existing.most, found.most),
                existing.share + found.share,
            )
        limits[model] = found
    return list(limits.values())
