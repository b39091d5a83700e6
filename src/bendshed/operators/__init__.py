"""The operators' query and command language and who answers it."""
