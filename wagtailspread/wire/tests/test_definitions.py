"""Tests of the classes that are created without parsing the definitions."""

import thriftpy2

from wagtailspread.wire import definitions, generation, messages


def describe_spec(spec):
    """Return a spec of the thrift library with names in place of classes."""
    if isinstance(spec, type):
        return spec.__name__
    if isinstance(spec, dict):
        return {key: describe_spec(part) for key, part in spec.items()}
    if isinstance(spec, tuple):
        return tuple(map(describe_spec, spec))
    return spec


def load_parsed():
    """Return what the thrift library makes of the definitions."""
    return thriftpy2.load(
        str(generation.IDL_PATH), module_name='parsed_for_tests_thrift'
    ).__thrift_meta__


def test_the_generated_file_is_up_to_date():
    """Guards against a struct that was changed in one of the files only."""
    assert definitions.PATH.read_text() == generation.render()


def test_the_classes_equal_those_of_the_library():
    """Guards against processes that encode a struct differently."""
    parsed = load_parsed()
    created = definitions.load()
    assert not set(parsed) - {'structs', 'enums', 'includes'}
    for struct in parsed['structs']:
        other = getattr(created, struct.__name__)
        assert other.__name__ == struct.__name__
        assert other.default_spec == struct.default_spec
        assert describe_spec(other.thrift_spec) == describe_spec(
            struct.thrift_spec
        )
        assert other().__dict__ == struct().__dict__
        assert other._ttype == struct._ttype
    for enum in parsed['enums']:
        other = getattr(created, enum.__name__)
        for names in ('_NAMES_TO_VALUES', '_VALUES_TO_NAMES', '_ttype'):
            assert getattr(other, names) == getattr(enum, names)
        for name, number in enum._NAMES_TO_VALUES.items():
            assert getattr(other, name) == number


def test_a_class_is_created_once():
    """Guards against two classes of one struct, whose values never equal."""
    created = definitions.load()
    batch = created.ChangeBatch
    assert created.ChangeBatch is batch
    assert batch.thrift_spec[3][2][1] is created.UpstreamRow
    assert not hasattr(created, 'Missing')


def test_bytes_equal_those_of_the_library():
    """Guards against a nested struct that is encoded as something else."""
    (row, batch) = (
        next(one for one in load_parsed()['structs'] if one.__name__ == name)
        for name in ('UpstreamRow', 'ChangeBatch')
    )
    structs = messages.structs
    encoded = [
        messages.encode(
            batch_type(
                epoch=1, rows=[row_type(upstream='u1')], heard=['u2'], silent=[]
            )
        )
        for batch_type, row_type in (
            (batch, row),
            (structs.ChangeBatch, structs.UpstreamRow),
        )
    ]
    assert encoded[0] == encoded[1]
    decoded = messages.decode(structs.ChangeBatch, encoded[0])
    assert decoded.rows == [structs.UpstreamRow(upstream='u1')]
