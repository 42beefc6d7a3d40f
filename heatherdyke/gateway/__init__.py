"""Serves raw HTTP requests of the platform's clients from many leafs.

Decisions are pure modules; connections, searches and forwards act on them.
"""
