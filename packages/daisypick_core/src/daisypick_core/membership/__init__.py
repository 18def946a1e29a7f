"""Which processes of the fleet are believed to be alive."""
