"""Choice of snapshots and replicas, hedging, and the gathering of answers."""
