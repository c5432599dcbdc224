"""Odd JSON, as another writer of the store may leave it, for tests."""

import hypothesis.strategies as st
import msgspec

NESTED_LEVELS = 6_000
NESTED = msgspec.Raw(b'[' * NESTED_LEVELS + b']' * NESTED_LEVELS)
LARGE = msgspec.Raw(b'1' + b'0' * 30)
# More digits than int() converts.
LONG = msgspec.Raw(b'1' * 5_000)
INFINITE = msgspec.Raw(b'1e999')
NOT_A_NUMBER = msgspec.Raw(b'NaN')
NOT_UTF_8 = msgspec.Raw(b'"\xff"')
SURROGATE = msgspec.Raw(b'"\\ud800"')

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(-(10**40), 10**40).map(
        lambda number: msgspec.Raw(str(number).encode())
    ),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
    st.sampled_from(
        [
            NESTED,
            LARGE,
            LONG,
            INFINITE,
            NOT_A_NUMBER,
            NOT_UTF_8,
            SURROGATE,
            -1,
            2**63,
            2**64 - 1,
            1e308,
            '127.0.0.1:70000',
            '127.0.0.1:\u0668\u0660',
            '\x00',
        ]
    ),
)


def _encodable(value):
    """Return `value` with its large integers as text that JSON can hold."""
    if isinstance(value, int) and not isinstance(value, bool):
        return msgspec.Raw(str(value).encode())
    return value


VALUES = st.recursive(
    SCALARS.map(_encodable),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=6,
)


def replace_fields(sound):
    """Return a strategy of `sound`, a JSON object, with some odd fields."""
    fields = st.sampled_from([*sound, 'unknown'])
    return st.dictionaries(fields, VALUES, min_size=1, max_size=3).map(
        lambda odd: msgspec.json.encode({**sound, **odd})
    )
