"""Runs the command line for ``python -m wagtailspread``."""

from wagtailspread.commands import program

if __name__ == '__main__':
    program.main()
