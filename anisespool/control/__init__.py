"""One instance's control socket and its live configuration. Loaded only where the operator's file has it.

`server` and `connection` are the transport. `routes` names the verbs, `router` maps a request to a handler,
`answers` a result or an error to status and JSON; `requests` and `responses` are the JSON on the socket.
`handlers` joins them to the owners of the state: `config_updater` (applied configuration), `operator_drains`
(drained endpoints) and `inspection` (read only). `generations` decides whether an update applies.
"""
