"""Commands of the command line, one module for each.

The parameters of the command functions are the command-line options, and their docstrings are the
help texts.
"""
