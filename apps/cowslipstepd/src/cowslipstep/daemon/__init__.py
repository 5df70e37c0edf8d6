"""The daemon process, assembled from the libraries of the workspace."""
