"""The control socket of one instance, and its live configuration. Loaded only if the operator enables it.

`server` and `connection` are the transport. `routes` names the operations by HTTP method and path, and
`router` passes a request to its handler. `requests` and `responses` define the JSON bodies; `http_responses`
adds the HTTP status and builds error responses. `handlers` connects the operations to the owners of the
state: `config_updater` (applied configuration), `operator_drains` (drained endpoints) and `inspection` (read
only). `generations` decides whether a configuration update is applied.
"""
