"""Small models of the core protocols, for model checking."""
