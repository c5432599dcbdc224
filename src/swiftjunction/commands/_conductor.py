"""What the commands that talk to a conductor share."""

import os
import typing

import cleo.commands.command
import cleo.helpers
import httpx
import msgspec

from swiftjunction import errors
from swiftjunction import web

TIMEOUT_SECONDS = 15.0
DEFAULT_CONDUCTOR = '127.0.0.1:8070'
KEY_VARIABLE = 'SWIFTJUNCTION_KEY'
AUTHORITY_VARIABLE = 'SWIFTJUNCTION_AUTHORITY'


class ConductorCommand(cleo.commands.command.Command):
    """A command that talks to a conductor."""

    options = [
        cleo.helpers.option(
            'conductor',
            None,
            'Address of a conductor, ip:port.',
            flag=False,
            default=DEFAULT_CONDUCTOR,
        ),
        cleo.helpers.option(
            'key',
            None,
            f"The operator's key; else taken from ${KEY_VARIABLE}.",
            flag=False,
        ),
        cleo.helpers.option(
            'authority',
            None,
            'File of the certificates that daemons are checked against; they '
            f'are called over TLS with it. Else taken from '
            f'${AUTHORITY_VARIABLE}.',
            flag=False,
        ),
        cleo.helpers.option('json', None, 'Write JSON.'),
    ]

    def call_daemon(
        self, method: str, address: str, url: str, content: bytes = b''
    ) -> httpx.Response:
        """Call any daemon, over TLS where an authority is given.

        Raises
        ------
        httpx.HTTPError
            If it gave no answer.
        """
        authority = self.option('authority') or os.environ.get(
            AUTHORITY_VARIABLE, ''
        )
        context = web.create_client_context(authority)
        return httpx.request(
            method,
            f'{"https" if context else "http"}://{address}{url}',
            content=content,
            headers=self.make_headers(),
            timeout=TIMEOUT_SECONDS,
            verify=context or True,
            trust_env=False,
        )

    def call_conductor(
        self, method: str, url: str, body: object = None
    ) -> dict[str, typing.Any]:
        """Call the conductor and return its answer.

        Raises
        ------
        OutcomeUnknown
            If no answer came, or it says that the outcome is unknown.
        SwiftjunctionError
            If the conductor could not be asked, or refused.
        """
        address = self.option('conductor')
        try:
            response = self.call_daemon(
                method,
                address,
                url,
                msgspec.json.encode(body) if body else b'',
            )
            answer = msgspec.json.decode(response.content)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise errors.SwiftjunctionError(
                f'not sent: {error}', step='call', peer=address
            ) from error
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise errors.OutcomeUnknown(
                f'no answer: {error}', step='call', peer=address
            ) from error
        if not response.is_success:
            outcome = answer.get('outcome')
            kind = (
                errors.OutcomeUnknown
                if outcome == 'unknown'
                else errors.SwiftjunctionError
            )
            raise kind(
                f'{outcome}: {answer.get("message")}',
                step='call',
                peer=address,
            )
        return answer

    def make_headers(self) -> dict[str, str]:
        """Return the headers that say who calls."""
        key = self.option('key') or os.environ.get(KEY_VARIABLE, '')
        return {'authorization': f'Bearer {key}'} if key else {}

    def show(self, answer: object, text: str) -> None:
        """Write `text`, or the whole answer where JSON was asked for."""
        if self.option('json'):
            self.line(msgspec.json.encode(answer).decode())
        else:
            self.line(text)
