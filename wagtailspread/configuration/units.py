"""Values with units: durations, sizes, rates, shares and counts.

A value is a decimal number followed by a unit of the quantity that the key
expects. A missing unit is refused, except for counts, which have none.

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
    """A kind of value.

    :param name: for messages, such as ``a duration``.
    :param factors: value of one unit in the base unit, by unit.
    :param example: a value that is accepted.
    """

    name: str
    factors: tuple[tuple[str, decimal.Decimal], ...]
    example: str

    def describe(self) -> str:
        """Return what is expected, for messages."""
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
#: Bytes per second; links are sold in bits.
RATE = _create_quantity(
    'a rate',
    '30Mbit/s',
    'kbit/s=125 Mbit/s=125000 Gbit/s=125000000',
)
#: A part of one.
SHARE = _create_quantity('a share', '60%', '%=0.01')
#: A whole number.
COUNT = _create_quantity('a whole number', '64', '=1')


def read_quantity(
    text: str,
    quantity: Quantity,
) -> result.Result[float, UnitProblem]:
    """Return the value in the quantity's base unit.

    :param text: number and unit, such as ``250ms``.
    :returns: seconds, bytes, bytes per second, a part of one, or a number.
    """
    match = _NUMBER.fullmatch(text.strip())
    if match is None:
        return result.Failure(UnitProblem.BAD_VALUE)
    factor = dict(quantity.factors).get(match.group(2))
    if factor is None:
        return result.Failure(UnitProblem.WRONG_UNIT)
    return result.Success(float(decimal.Decimal(match.group(1)) * factor))
