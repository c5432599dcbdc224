"""Tests of the decoding of what other processes sent or stored."""

import json

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from swiftjunction import decoding
from swiftjunction import errors

LEVELS = [1_100, 6_000, 200_000]


class Known(msgspec.Struct):
    number: int = 0
    raw: msgspec.Raw = msgspec.Raw(b'null')


def nest(levels):
    return b'[' * levels + b']' * levels


@pytest.mark.parametrize('levels', LEVELS)
@pytest.mark.parametrize('field', ['number', 'raw', 'unknown'])
def test_a_deeply_nested_json_value_raises_the_typed_error(levels, field):
    data = b'{"%s":%s}' % (field.encode(), nest(levels))
    with pytest.raises(errors.ContentBroken):
        decoding.decode_json(data, Known)


@pytest.mark.parametrize('levels', LEVELS)
@pytest.mark.parametrize('field', ['number', 'raw', 'unknown'])
def test_a_deeply_nested_message_raises_the_typed_error(levels, field):
    name = msgspec.msgpack.encode(field)
    data = b'\x81' + name + b'\x91' * levels + b'\x90'
    with pytest.raises(errors.ContentBroken):
        decoding.decode_msgpack(data, Known)
    with pytest.raises(errors.ContentBroken):
        decoding.decode(msgspec.msgpack.Decoder(Known).decode, data)


@hypothesis.given(st.binary(max_size=200))
def test_bytes_are_decoded_or_raise_the_typed_error(data):
    for decode in (decoding.decode_json, decoding.decode_msgpack):
        for kind in (Known, dict, float, list[Known]):
            try:
                decode(data, kind)
            except errors.ContentBroken as error:
                assert error.step == 'decode'


# Strings hold what looks like brackets and ends of strings.
VALUES = st.recursive(
    st.one_of(st.integers(), st.text('[]{}"\\a', max_size=6)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text('[]{}"\\a', max_size=3), inner, max_size=4),
    ),
    max_leaves=12,
)


@hypothesis.given(st.lists(VALUES), st.sets(st.integers(0, 8)), st.data())
def test_deep_values_alone_are_replaced(values, deep_positions, data):
    levels = st.integers(decoding.MAX_LEVELS + 1, decoding.MAX_LEVELS + 50)
    documents = [json.dumps(value).encode() for value in values]
    expected = list(values)
    for position in deep_positions:
        if position < len(values):
            documents[position] = nest(data.draw(levels))
            expected[position] = None
    document = b'{"items": [' + b', '.join(documents) + b']}'
    cut = decoding.cut_deep_values(document, 3)
    assert json.loads(cut) == {'items': expected}


@hypothesis.given(st.text('[]{}"\\,:1'), st.integers(1, 5))
def test_an_invalid_document_of_few_levels_is_not_changed(text, level):
    document = text.encode()
    assert decoding.cut_deep_values(document, level) == document


def test_values_of_the_largest_nesting_are_kept():
    document = b'[' + nest(decoding.MAX_LEVELS) + b']'
    assert decoding.cut_deep_values(document, 2) == document
