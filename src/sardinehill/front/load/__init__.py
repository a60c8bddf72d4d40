"""What a daemon does about load: queues, targets, slots of upstreams."""
