"""HTTP gateway that serves the requests of the platform's clients from leafs.

Pure modules take the decisions; connections, searches and forwarded requests
carry them out.
"""
