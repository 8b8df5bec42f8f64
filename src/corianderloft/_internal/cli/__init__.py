"""The command line: parser, shared options, output and exit codes."""
