package ploverdale.net;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.net.discovery.Discovery;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.settings.ConfigurationFile;

/**
 * Owns the configuration in force and replaces it while the gateway serves. The address of discovery and the limit of
 * descriptors change at once; what the router and the listening socket were started with stays until a restart.
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

    /** The configuration in force. To be called on the event loop. */
    ConfigurationFile current() {
        return current;
    }

    /**
     * Reads a file and puts it in force; one that cannot be read changes nothing. Blocks while it reads, so it may be called on
     * any thread but the event loop's.
     *
     * <p>Synchronized, since each signal has a thread of its own: a call that reads for longer must not put its older
     * configuration in force after a later one.
     */
    synchronized void reload(Path path) {
        ConfigurationFile next;
        try {
            next = ConfigurationFile.read(path);
        } catch (RuntimeException invalid) { // broad catch: whatever is wrong with the file, service goes on
            log.line("new configuration not taken, all goes on as before: " + invalid.getMessage());
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
                + (needsRestart(previous, next) ? "; what else it says needs a restart" : ""));
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
