"""The adapter for the users' platform: names, formats and calls.

It decodes what the platform says into the product's own types and encodes
what the product says to it.  It decides nothing.
"""
