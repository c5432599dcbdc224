"""Removes values that are nested too deeply from a JSON document."""

import re

# Of one value; msgspec decodes some 1,000 levels less those of the stack.
MAX_LEVELS = 500

# A string, also one that does not end, or brackets in a row. Possessive, so
# that the scan takes linear time.
_TOKEN = re.compile(
    rb'"[^"\\]*+(?:\\.?[^"\\]*+)*+(?:"|\Z)|[\[{]++|[\]}]++', re.DOTALL
)
_OPENING = b'[{'
_QUOTE = b'"'


def cut_deep_values(document: bytes, level: int) -> bytes:
    """Replace the values at `level` that are nested too deeply by null.

    The rest of the document can be decoded then. It need not be valid.

    Parameters
    ----------
    document : bytes
        A JSON document.
    level : int
        The level of the values, where the document itself is at level 1.
        Those of more than ``MAX_LEVELS`` levels are replaced.
    """
    parts = []
    copied_to = 0
    depth = 0
    start = 0
    is_deep = False
    for token in _TOKEN.finditer(document):
        text = token[0]
        if text[:1] == _QUOTE:
            continue
        if text[:1] in _OPENING:
            if depth < level <= depth + len(text):
                start = token.start() + level - depth - 1
                is_deep = False
            depth += len(text)
            is_deep = is_deep or depth - level >= MAX_LEVELS
            continue
        if depth - len(text) < level <= depth and is_deep:
            parts += [document[copied_to:start], b'null']
            copied_to = token.start() + depth - level + 1
            is_deep = False
        depth -= len(text)
    return b''.join([*parts, document[copied_to:]])
