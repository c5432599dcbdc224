"""Tools that measure and prove; they are not shipped with the daemons."""
