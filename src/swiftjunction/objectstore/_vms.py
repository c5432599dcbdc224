"""Client of the platform's VM list, which may be outdated."""

import httpx
import msgspec

from swiftjunction import decoding
from swiftjunction import errors


class Vm(msgspec.Struct, frozen=True):
    """One VM of the VM list.

    Attributes
    ----------
    service : str
        The model or service that runs on the VM, or ``swiftjunction``.
    address : str
        ``ip:port`` of that service, or of the link port of a
        ``swiftjunction`` VM.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    address: str
    service: str
    data_center: str
    region: str = ''
    state: str = 'live'


class VmList:
    """Reads the VM list over HTTP.

    Parameters
    ----------
    client : httpx.AsyncClient
        Its base URL is the address of the VM list.
    """

    __slots__ = ('_client',)

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self) -> list[Vm]:
        """Return all listed VMs.

        Raises
        ------
        PlatformUnavailable
            If the list could not be read or decoded.
        """
        try:
            response = await self._client.get('/vms')
            response.raise_for_status()
            return decoding.decode_json(response.content, list[Vm])
        except (httpx.HTTPError, errors.ContentBroken) as error:
            raise errors.PlatformUnavailable(
                f'cannot read the VM list: {error}',
                step='list',
                peer='VM list',
            ) from error
