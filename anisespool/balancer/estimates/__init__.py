"""What the balancer estimates from outcomes, load reports and gossip. Nothing here decides."""
