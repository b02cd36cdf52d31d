"""Log file, snapshots and identity of a control replica's data folder."""
