package ploverdale.net;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.net.discovery.Discovery;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.settings.ConfigurationFile;

/**
 * Owns the configuration in force and replaces it while the gateway serves. A new address of discovery and a new limit
 * on descriptors take effect at once; changes of the router's settings and of the listening address need a restart.
 */
final class ConfigurationReload {
    private final Log log;
    private final RouterEventLoop loop;
    private final ConnectionLimits<?> limits;
    private final Discovery discovery;
    private ConfigurationFile current; // changed on the event loop only

    ConfigurationReload(
            Log log, RouterEventLoop loop, ConnectionLimits<?> limits, Discovery discovery, ConfigurationFile initial) {
        this.log = log;
        this.loop = loop;
        this.limits = limits;
        this.discovery = discovery;
        current = initial;
    }

    /** Returns the configuration in force; never null. To be called on the event loop. */
    ConfigurationFile current() {
        return current;
    }

    /**
     * Reads a configuration file and puts it in force. A file that is invalid or cannot be read changes nothing. Blocks
     * while it reads, so it may be called on any thread except the event loop's.
     *
     * <p>Synchronized, since each SIGHUP is handled on a thread of its own: a call that takes longer to read must not
     * replace a newer configuration with its older one.
     */
    synchronized void reload(Path path) {
        ConfigurationFile next;
        try {
            next = ConfigurationFile.read(path);
        } catch (RuntimeException invalid) { // broad catch: no error in the file may interrupt service
            log.line("new configuration not taken, the current one stays in force: " + invalid.getMessage());
            return;
        }
        loop.execute(() -> apply(next));
    }

    private void apply(ConfigurationFile next) {
        ConfigurationFile previous = current;
        current = next;
        limits.setMaxDescriptors(next.sockets());
        InetSocketAddress agent = next.discovery();
        log.line("new configuration: discovery at " + agent.getAddress().getHostAddress() + ":" + agent.getPort() + ", "
                + next.sockets() + " descriptors"
                + (needsRestart(previous, next) ? "; its other changes take effect after a restart" : ""));
        discovery.follow(agent);
    }

    private static boolean needsRestart(ConfigurationFile previous, ConfigurationFile next) {
        return !next.listen().equals(previous.listen())
                || !next.settings()
                        .started()
                        .requestClasses()
                        .equals(previous.settings().started().requestClasses());
    }
}
