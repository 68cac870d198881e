"""Runs the program of a role: ``python -m wagtailspread.platform ROLE``.

With ``check`` in place of a role it checks a configuration document.
"""

import gc
import importlib
import sys

_PROGRAMS = 'wagtailspread.platform.programs'
_CHECKS = 'wagtailspread.platform.checks'

if __name__ == '__main__':
    if sys.argv[1:2] == ['check']:
        importlib.import_module(_CHECKS).check(sys.argv[2:], 'check')
    # Imports create many objects and next to no garbage. The program enables
    # the collection when they are done.
    gc.disable()
    importlib.import_module(_PROGRAMS).run(sys.argv[-1])
