"""The lab: a model of the fleet in virtual time, scenarios, experiments, a search for what breaks rules."""
