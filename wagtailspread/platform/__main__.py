"""Runs the program of a role: ``python -m wagtailspread.platform ROLE``."""

import gc
import importlib
import sys

_PROGRAMS = 'wagtailspread.platform.programs'

if __name__ == '__main__':
    # Imports create many objects and next to no garbage. The program enables
    # the collection when they are done.
    gc.disable()
    importlib.import_module(_PROGRAMS).run(sys.argv[-1])
