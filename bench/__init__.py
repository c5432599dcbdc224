"""Tools that measure; they are not shipped with the daemons."""
