"""What ``plantainstage-ctl`` does, without its command line."""
