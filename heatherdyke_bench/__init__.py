"""The experiment tool: real processes, open-loop load, fixed seeds.

It is for development and not part of the shipped program.  Unlike the
program, it starts processes.
"""
