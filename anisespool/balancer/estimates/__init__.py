"""Estimates from outcomes, load reports and gossip. Decisions are made elsewhere."""
