/**
 * Reads the configuration of a gateway: the configuration file with the settings of the deployment, the file that
 * enables what gateways share, and endpoint lists in the format of the discovery agent. Each error is reported as an
 * {@link ploverdale.settings.InvalidSettingsException} that names the source and the field. The field names of these
 * formats are translated to the terms of {@link ploverdale.model} here and used nowhere else. This package opens no
 * socket, looks up no host name and makes no decision. It has no mutable state, so any thread may use it.
 */
package ploverdale.settings;
