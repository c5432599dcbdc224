"""Verifies that servers are the runs that are listed, by their reports."""

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import coordination


def build_verifier(
    client: batches.SampleEngineClient,
    server_list: coordination.FeedConfirmation,
    max_age_seconds: float,
) -> backends.StartVerifier:
    """Return what compares the entries of servers with their reports.

    Parameters
    ----------
    server_list : FeedConfirmation
        The age of the list of servers.
    max_age_seconds : float
        Up to this age, the list of a VM in touch with the store is current.
    """

    async def read_start(server: backends.BackendServer) -> int:
        return (await client.read_report(server)).born_ms

    def is_list_current() -> bool:
        return server_list.compute_age_seconds() <= max_age_seconds

    return backends.StartVerifier(read_start, is_list_current)
