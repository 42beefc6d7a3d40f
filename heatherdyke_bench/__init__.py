"""The experiment tool: real processes, open-loop load, fixed seeds.

It is for development and is not part of the shipped program; it may start
processes, which the program itself never does.
"""
