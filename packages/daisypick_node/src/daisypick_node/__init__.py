"""The daemons: router, agent, and what they share."""
