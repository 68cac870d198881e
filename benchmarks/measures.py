"""Format of the lines that the measurements print."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """A measured value and the values of other mechanisms for comparison.

    :param ours: value of this project.
    :param naive: value with independent choice by each host.
    :param ideal: value with complete knowledge and no delays, or the bound.
    :param leased: value with shares of the slots leased to hosts, or none if
        it was not measured.
    """

    name: str
    scenario: str
    ours: float
    naive: float
    ideal: float
    unit: str
    leased: float | None = None

    def format_line(self) -> str:
        """Return the line to print.

        >>> Measure('useful', 'flood', 0.9, 0.5, 1.0, 'share').format_line()
        'useful flood ours=0.9 naive=0.5 ideal=1 unit=share'
        """
        parts = [
            self.name,
            self.scenario,
            f'ours={self.ours:.4g}',
            f'naive={self.naive:.4g}',
            f'ideal={self.ideal:.4g}',
            f'unit={self.unit}',
        ]
        if self.leased is not None:
            parts.append(f'leased={self.leased:.4g}')
        return ' '.join(parts)
