"""The daemon: joins the libraries into one process."""
