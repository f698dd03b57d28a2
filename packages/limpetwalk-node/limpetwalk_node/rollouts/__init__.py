"""Roll-outs as the node leads and observes them."""
