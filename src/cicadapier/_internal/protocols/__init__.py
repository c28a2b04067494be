"""Wire protocols: formats, codecs and connections that the services use."""
