"""Weight versions out of range in the responses of servers."""

import httpx
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction.platform.servers import _events
from swiftjunction.platform.servers import _responses

NAME = 'swiftjunction-weight-versions'
BROKEN = ['9' * 5000, '9' * 20, '9' * 25]


def make_server():
    directory = backends.Directory(membership.RecordTable(), lambda: 0.0)
    directory.update(backends.ServerReport('e0', 'e0:1', 's', 'dc'))
    return directory.get('e0')


def parse_header(text):
    response = httpx.Response(200, headers={NAME: text})
    return _responses.parse_weight_version(response, make_server())


@pytest.mark.parametrize('text', BROKEN)
def test_a_header_out_of_range_is_a_broken_answer_of_its_server(text):
    with pytest.raises(errors.AnswerBroken) as caught:
        parse_header(text)
    assert caught.value.peer == 'e0'


@pytest.mark.parametrize(
    ('text', 'version'), [('7', 7), ('', 0), ('x', 0), (str(2**53), 2**53)]
)
def test_a_header_in_range_is_the_version(text, version):
    assert parse_header(text) == version


@pytest.mark.parametrize('text', [*BROKEN, '-1'])
def test_an_event_with_a_version_out_of_range_is_a_broken_answer(text):
    parser = _events.EventParser(0, 'e0')
    data = f'{NAME}:{text}\nid:1\ndata:x\n\n'.encode()
    with pytest.raises(errors.AnswerBroken):
        list(parser.feed(data))
