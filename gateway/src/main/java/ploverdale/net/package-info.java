/**
 * Owns a running gateway: creates its components and connects them ({@link ploverdale.net.Gateway}), starts them in
 * order ({@link ploverdale.net.GatewayStartup}, {@link ploverdale.net.StartupWarmUp}), carries out the router's actions
 * ({@link ploverdale.net.GatewayActions}) and replaces the configuration ({@link ploverdale.net.ConfigurationReload}).
 * Never decides about a request or a server. Runs on one event loop; methods that may be called on other threads say
 * so.
 */
package ploverdale.net;
