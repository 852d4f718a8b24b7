"""Randomized soak test: real node processes under injected faults.

``python -m soak --seeds 50`` executes fifty runs. Each run starts relays as separate
processes between proxies on the loopback address, injects faults into connections,
processes, the store and settings files following a schedule derived from its seed, and
checks the guarantees of the system against what callers and replicas observed.
"""
