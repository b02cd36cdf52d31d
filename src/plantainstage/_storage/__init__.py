"""Log segments, snapshot and identity in a control replica's data folder."""
