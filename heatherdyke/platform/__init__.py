"""The adapter for the users' platform: its names, formats and API calls.

It decodes the platform's messages into heatherdyke's own types, whose fields
have descriptive names, and encodes messages to the platform.  It contains no
decision logic.
"""
