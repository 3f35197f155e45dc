/**
 * Reads what a gateway is configured with: the configuration file, the settings within it, the file that switches on what
 * gateways share, and endpoint lists in the form of the discovery agent. Each fault is reported as an {@link
 * ploverdale.settings.InvalidSettingsException} that names source and field. The names of the platform's fields stop here.
 * It opens no socket, looks up no host name and chooses nothing. It holds no state, so any thread may use it.
 */
package ploverdale.settings;
