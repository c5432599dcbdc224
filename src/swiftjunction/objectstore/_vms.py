"""The platform's list of live and leaving VMs, which lags."""

import httpx
import msgspec

from swiftjunction import errors


class Vm(msgspec.Struct, frozen=True):
    """One VM as listed.

    Attributes
    ----------
    service : str
        The model or service that runs on it, or ``swiftjunction``.
    address : str
        ``ip:port`` of that service; of the link of one of our own VMs.
    """

    name: str
    address: str
    service: str
    data_center: str
    region: str = ''
    state: str = 'live'


class VmList:
    """Reads the VM list over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self) -> list[Vm]:
        """Return every VM listed.

        Raises
        ------
        PlatformUnavailable
            If the list could not be read.
        """
        try:
            response = await self._client.get('/vms')
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=list[Vm])
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise errors.PlatformUnavailable(
                f'VM list not read: {error}', step='list', peer='VM list'
            ) from error
