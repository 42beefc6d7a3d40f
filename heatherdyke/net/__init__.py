"""HTTP, UDP and TCP: connections, servers, addresses and options."""
