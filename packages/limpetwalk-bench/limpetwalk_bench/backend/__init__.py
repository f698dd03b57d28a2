"""Parts shared by the stand-ins of engines and plain services."""
