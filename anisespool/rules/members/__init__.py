"""Who of the fleet is alive: a pure core. Time, chance and messages are passed in, datagrams and views come
out."""
