"""The command line: arguments, tables and progress. It presents what other packages compute."""
