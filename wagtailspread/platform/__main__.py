"""Runs a program of the platform: ``python -m wagtailspread.platform ROLE``."""

import sys

from wagtailspread.platform import programs

if __name__ == '__main__':
    programs.run(sys.argv[-1])
