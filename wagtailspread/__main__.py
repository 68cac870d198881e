"""Runs the command line: ``python -m wagtailspread``."""

from wagtailspread.commands import program

if __name__ == '__main__':
    program.main()
