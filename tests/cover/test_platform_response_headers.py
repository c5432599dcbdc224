"""Headers of backend servers that are not ASCII."""

import pytest

from swiftjunction import standins
from tests import platform_deployment

HEADER = 'x-place'
VALUE = 'Ia\u0219i'.encode()


class PlacedService(standins.PlatformServiceStandin):
    """A plain service whose responses have a header in UTF-8."""

    def build_app(self):
        app = super().build_app()

        async def serve(scope, receive, send):
            async def send_placed(message):
                if message['type'] == 'http.response.start':
                    headers = [*message['headers'], (HEADER.encode(), VALUE)]
                    message = {**message, 'headers': headers}
                await send(message)

            await app(scope, receive, send_placed)

        return serve


@pytest.mark.anyio
async def test_a_header_that_is_not_latin_1_is_passed_on_byte_for_byte(
    tmp_path,
):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    deployment.plain = {'p1': PlacedService('p1')}
    async with deployment.run():
        response = await deployment.send_request(
            'vm-1',
            'POST',
            '/plain/a',
            headers={'swiftjunction-attempt-id': 'r1'},
        )
    assert response.status_code == 200
    assert (HEADER.encode(), VALUE) in response.headers.raw
