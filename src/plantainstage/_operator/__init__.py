"""Operations of ``plantainstage-ctl``, without its command line."""
