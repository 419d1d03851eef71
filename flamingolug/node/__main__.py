"""Entry point of `python -m flamingolug.node`."""

from flamingolug.node import _program

_program.main()
