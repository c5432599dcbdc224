"""Client of the platform's API for duties."""

import http

import httpx
import msgspec

from swiftjunction import duties
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction.platform import _names
from swiftjunction import web

PEER_NAME = 'duty API'
CALL_TIMEOUT_SECONDS = 1.0
# Responses which say that the call was not carried out.
UNDONE_STATUSES = frozenset(
    {http.HTTPStatus.TOO_MANY_REQUESTS, http.HTTPStatus.SERVICE_UNAVAILABLE}
)


class PlatformDutyApi(duties.DutyApi):
    """Calls the API over HTTP, on connections that check the lease.

    Parameters
    ----------
    peers : PeerClients
        HTTP clients of the process.
    address : str
        ``ip:port`` of the API.
    holder : str
        The name of this VM.
    """

    __slots__ = ('_address', '_holder', '_peers')

    def __init__(
        self, peers: web.PeerClients, address: str, holder: str
    ) -> None:
        self._peers = peers
        self._address = address
        self._holder = holder

    async def report_usage(
        self, lease: leases.Lease, report: duties.UsageReport
    ) -> None:
        content = {'window_id': report.window, 'counts': report.counts}
        status = await self._call(lease, _names.USAGE_PATH, content)
        if status == http.HTTPStatus.CONFLICT:
            raise errors.LeaseLost(
                'the platform has seen a higher fencing token',
                step='report usage',
                peer=PEER_NAME,
            )

    async def order_servers(
        self, lease: leases.Lease, order: duties.ServerOrder
    ) -> bool:
        content: dict[str, object] = {
            'service': order.service,
            'zone': order.data_center,
            'target_groups': order.servers,
        }
        if order.is_spot:
            content['spot'] = True
        status = await self._call(lease, _names.SCALE_PATH, content)
        return status != http.HTTPStatus.CONFLICT

    async def _call(
        self, lease: leases.Lease, path: str, content: dict[str, object]
    ) -> int:
        """Send one call; return its status, 2xx or 409."""
        status = await self._post(lease, path, content)
        if status in UNDONE_STATUSES:
            raise errors.PlatformUnavailable(
                f'status {status}', step=path, peer=PEER_NAME
            )
        if (
            status < http.HTTPStatus.MULTIPLE_CHOICES
            or status == http.HTTPStatus.CONFLICT
        ):
            return status
        raise errors.WriteUncertain(
            f'status {status}', step=path, peer=PEER_NAME
        )

    async def _post(
        self, lease: leases.Lease, path: str, content: dict[str, object]
    ) -> int:
        """Send one call; return the status of the response."""
        headers = [
            ('content-type', 'application/json'),
            (_names.DUTY_HOLDER_HEADER, self._holder),
            (_names.FENCING_TOKEN_HEADER, str(lease.fencing_token)),
        ]

        def check_lease() -> None:
            lease.check(CALL_TIMEOUT_SECONDS)

        check_lease()
        try:
            response = await self._peers.get_direct(self._address).send(
                'POST',
                path,
                headers=headers,
                content=msgspec.json.encode(content),
                timeout_seconds=CALL_TIMEOUT_SECONDS,
                check=check_lease,
                check_body=check_lease,
            )
            await response.aclose()
        except web.UNSENT_ERRORS as error:
            raise errors.PlatformUnavailable(
                f'connection failed: {errors.describe(error)}',
                step=path,
                peer=PEER_NAME,
            ) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise errors.WriteUncertain(
                f'no response: {errors.describe(error)}',
                step=path,
                peer=PEER_NAME,
            ) from error
        return response.status_code
