"""Model of controllers that take over from each other."""
