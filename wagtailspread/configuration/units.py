"""Values with units: durations, sizes, rates, shares and counts.

A value is a decimal number followed by a unit of the quantity that the key
requires. A missing unit is an error, except for counts, which have no unit.

>>> read_quantity('250ms', DURATION).unwrap()
0.25
>>> read_quantity('64KiB', SIZE).unwrap()
65536.0
>>> read_quantity('30Mbit/s', RATE).unwrap()
3750000.0
>>> read_quantity('60%', SHARE).unwrap()
0.6
>>> read_quantity('2s', SIZE).failure()
<UnitProblem.WRONG_UNIT: 'wrong-unit'>
"""

import dataclasses
import decimal
import enum
import re

from returns import result

_NUMBER = re.compile(r'(\d{1,18}(?:\.\d{1,9})?)[ ]*([A-Za-z/%]*)', re.ASCII)


class UnitProblem(enum.Enum):
    """Why a value cannot be read."""

    #: There is no number.
    BAD_VALUE = 'bad-value'
    #: The unit is missing or belongs to another quantity.
    WRONG_UNIT = 'wrong-unit'


@dataclasses.dataclass(frozen=True, slots=True)
class Quantity:
    """A quantity with its units.

    :param name: name for messages, such as ``a duration``.
    :param factors: pairs of a unit and its value in the base unit.
    :param example: a valid value, for messages.
    """

    name: str
    factors: tuple[tuple[str, decimal.Decimal], ...]
    example: str

    def describe(self) -> str:
        """Return a description of valid values, for messages."""
        units = ', '.join(unit for unit, _ in self.factors if unit)
        if not units:
            return f'{self.name} without a unit, such as {self.example}'
        return f'{self.name} in {units}, such as {self.example}'


def _create_quantity(name: str, example: str, factors: str) -> Quantity:
    pairs = [word.split('=') for word in factors.split()]
    return Quantity(
        name,
        tuple((unit, decimal.Decimal(factor)) for unit, factor in pairs),
        example,
    )


#: Seconds.
DURATION = _create_quantity(
    'a duration',
    '250ms',
    'ms=0.001 s=1 min=60 h=3600 d=86400',
)
#: Bytes.
SIZE = _create_quantity(
    'a size',
    '64KiB',
    'B=1 KiB=1024 MiB=1048576 GiB=1073741824',
)
#: Bytes per second; the units are in bits, as is usual for links.
RATE = _create_quantity(
    'a rate',
    '30Mbit/s',
    'kbit/s=125 Mbit/s=125000 Gbit/s=125000000',
)
#: A fraction from 0 to 1.
SHARE = _create_quantity('a share', '60%', '%=0.01')
#: A number without a unit, which may have a fraction.
NUMBER = _create_quantity('a number', '2.5', '=1')
#: A number without a unit; the section reader refuses a fraction.
COUNT = _create_quantity('a whole number', '64', '=1')


def read_quantity(
    text: str,
    quantity: Quantity,
) -> result.Result[float, UnitProblem]:
    """Return the value in the quantity's base unit.

    :param text: number and unit, such as ``250ms``.
    :param quantity: the quantity that the value must have.
    :returns: seconds, bytes, bytes per second, a fraction or a count; or why
        the value cannot be read.
    """
    match = _NUMBER.fullmatch(text.strip())
    if match is None:
        return result.Failure(UnitProblem.BAD_VALUE)
    factor = dict(quantity.factors).get(match.group(2))
    if factor is None:
        return result.Failure(UnitProblem.WRONG_UNIT)
    return result.Success(float(decimal.Decimal(match.group(1)) * factor))
