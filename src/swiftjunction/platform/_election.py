"""Election of the VM that coordinates."""

from swiftjunction import coordination
from swiftjunction import leases
from swiftjunction import objectstore
from swiftjunction.platform import _settings

LEASE_NAME = 'coordinator'
# Duration of the lease as a fraction of ``lease_seconds``, the minimum time
# between the orders of two successive lease holders.
LEASE_TTL_FRACTION = 0.87
LEASE_MARGIN_SECONDS = 0.4
# With these times, a renewal whose response is lost is detected and repeated
# through a peer before the lease expires.
RENEW_INTERVAL_SECONDS = 0.9
RENEW_TIMEOUT_SECONDS = 1.2
RETRY_INTERVAL_SECONDS = 0.2


def build_coordinator(
    settings: _settings.EdgeSettings,
    store: objectstore.ObjectStore,
    members: coordination.MemberTable,
    task: coordination.CoordinatorTask,
    fitness: coordination.DutyFitness,
) -> coordination.Coordinator:
    """Return what makes this VM a candidate for coordinator.

    Parameters
    ----------
    task : CoordinatorTask
        Runs while this VM coordinates.
    fitness : DutyFitness
        Tells whether this VM can coordinate.
    """
    timing = leases.LeaseTiming(
        ttl_seconds=settings.lease_seconds * LEASE_TTL_FRACTION,
        margin_seconds=LEASE_MARGIN_SECONDS,
        renew_interval_seconds=RENEW_INTERVAL_SECONDS,
        renew_timeout_seconds=RENEW_TIMEOUT_SECONDS,
        retry_interval_seconds=RETRY_INTERVAL_SECONDS,
    )
    return coordination.Coordinator(
        leases.LeaseKeeper(
            store,
            LEASE_NAME,
            f'{settings.name}@{settings.ip}',
            timing=timing,
            reclaims_own_lease=True,
        ),
        timing,
        members,
        task,
        fitness,
    )
