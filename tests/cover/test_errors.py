import httpx
import pytest

from swiftjunction.backends import _http
from swiftjunction import errors


def test_an_error_without_a_text_is_described_by_its_type():
    assert errors.describe(httpx.ReadError('')) == 'ReadError'
    assert errors.describe(httpx.ReadError('closed')) == 'closed'


def test_a_response_that_ends_without_a_text_names_the_type_of_the_error():
    with pytest.raises(errors.AnswerBroken, match='response: ReadError'):
        with _http.translate_errors('call', 'e1'):
            raise httpx.ReadError('')
