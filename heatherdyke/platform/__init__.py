"""The adapter for the users' platform: its names, formats and API calls.

It decodes the platform's messages into heatherdyke's own types, whose fields
have descriptive names, and encodes messages to the platform.  It contains no
decision logic.

The field names of the ``_Wire`` classes and the object kinds ``servers``
(leafs) and ``evacuations`` (zones out of service) are the platform's; only
those in the module ``instances`` are heatherdyke's own.  "The store" is the
platform's object store.
"""
