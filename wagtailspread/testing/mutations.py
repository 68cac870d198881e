"""Random changes of valid inputs, for tests of decoders.

A random generator with a fixed seed gives the same changes on every machine.
"""

import json
import random as random_module
import typing

from wagtailspread.wire import messages

#: Values that a decoder must reject or carry unchanged, as JSON.
ODD_VALUES: tuple[typing.Any, ...] = (
    None,
    True,
    -1,
    0,
    1.5,
    2**31,
    2**63,
    2**70,
    10**400,
    '',
    'x' * 5000,
    '\ud800',
    'a\nb',
    '\x00',
    '10.0.0.1:99999',
    '10.0.0.1:0',
    '999.1.1.1:80',
    '1' * 400 + 's',
    '9999999999s',
    [],
    {},
)
#: Levels of nesting that exceed the limits of parsers.
_DEPTHS = (100, 5000)


def mutate_json(body: bytes, random: random_module.Random) -> bytes:
    """Return a JSON body with one change of a field, or of its bytes."""
    kind = random.randrange(4)
    if kind == 0:
        return mutate_bytes(body, random)
    if kind == 1:
        return nest(body, random.choice(_DEPTHS))
    fields = json.loads(body)
    holder = random.choice(_list_holders(fields))
    keys = list(holder) if isinstance(holder, dict) else range(len(holder))
    key = random.choice(list(keys))
    if kind == 2 and isinstance(holder, dict):
        holder.pop(key)
    else:
        holder[key] = random.choice(ODD_VALUES)
    return json.dumps(fields).encode('utf-8', 'surrogatepass')


def nest(body: bytes, depth: int) -> bytes:
    """Return a JSON object with one more field that is deeply nested."""
    nested = b'[' * depth + b']' * depth
    return body.rstrip()[:-1] + b',"nested":' + nested + b'}'


def mutate_bytes(body: bytes, random: random_module.Random) -> bytes:
    """Return bytes that are cut, or have a range replaced or repeated."""
    start = random.randrange(len(body) + 1)
    end = min(len(body), start + random.randrange(1, 9))
    kind = random.randrange(3)
    if kind == 0:
        return body[:start]
    if kind == 1:
        return body[:start] + random.randbytes(end - start) + body[end:]
    return body[:end] + body[start:end] + body[end:]


def mutate_struct(
    struct: messages.Struct, random: random_module.Random
) -> bytes:
    """Return an encoded struct with one change of a field, or of its bytes.

    The struct itself stays as it is. A change that cannot be encoded is
    replaced by a change of the bytes.
    """
    encoded = messages.encode(struct)
    if random.randrange(2):
        return mutate_bytes(encoded, random)
    copy = messages.decode(type(struct), encoded)
    holder = random.choice(_list_structs(copy))
    _, name, *_ = random.choice(list(holder.thrift_spec.values()))
    setattr(holder, name, random.choice(ODD_VALUES))
    try:
        return messages.encode(copy)
    except messages.EncodeError:
        return mutate_bytes(encoded, random)


def _list_holders(found: typing.Any) -> list[typing.Any]:
    """Return all objects and lists that are not empty."""
    holders = [found] if found else []
    children = found.values() if isinstance(found, dict) else found
    for child in children:
        if isinstance(child, dict | list):
            holders.extend(_list_holders(child))
    return holders


def _list_structs(struct: messages.Struct) -> list[messages.Struct]:
    """Return a struct and those in its fields."""
    found = [struct]
    for _, name, *_ in struct.thrift_spec.values():
        field = getattr(struct, name)
        elements = field if isinstance(field, list) else [field]
        for element in elements:
            if hasattr(element, 'thrift_spec'):
                found.extend(_list_structs(element))
    return found
