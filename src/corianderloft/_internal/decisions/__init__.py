"""Request scheduling: admission, queueing, load balancing and retries."""
