"""Runs the command line: ``python -m wagtailspread``."""

from wagtailspread.commands import main

if __name__ == '__main__':
    main.main()
