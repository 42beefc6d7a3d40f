"""The experiment tool: real processes, open-loop load, fixed seeds.

It is a development tool and not part of the shipped program.  It may start
processes, which the program itself never does.
"""
