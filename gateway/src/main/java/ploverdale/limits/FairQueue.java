package ploverdale.limits;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The order in which clients have their input run. As in FQ-CoDel (RFC 8290), a client that had no input left goes
 * before all clients that are backlogged, that is, that have used up a quantum and have input left; among each other,
 * both kinds take turns. So a client that sends little waits for at most one quantum of any other, however many clients
 * send at full speed. Not thread-safe.
 *
 * @param <C> type of a client; its instances are distinguished by {@code equals}
 */
public final class FairQueue<C> {
    private final Set<C> ready = new LinkedHashSet<>();
    private final Set<C> backlogged = new LinkedHashSet<>();

    /** Adds a client with input; does nothing if it is in the queue already. */
    public void add(C client) {
        if (!backlogged.contains(client)) {
            ready.add(client);
        }
    }

    /** Adds a client that has used up its quantum and has input left. */
    public void addBacklogged(C client) {
        ready.remove(client);
        backlogged.add(client);
    }

    /** Removes and returns the client whose turn it is, or null if the queue is empty. */
    public C poll() {
        C next = pollFirst(ready);
        return next != null ? next : pollFirst(backlogged);
    }

    private static <C> C pollFirst(Set<C> clients) {
        Iterator<C> iterator = clients.iterator();
        if (!iterator.hasNext()) {
            return null;
        }
        C first = iterator.next();
        iterator.remove();
        return first;
    }

    /** Removes a client; does nothing if it is not in the queue. */
    public void remove(C client) {
        ready.remove(client);
        backlogged.remove(client);
    }

    /** Returns whether the client is in the queue. */
    public boolean contains(C client) {
        return ready.contains(client) || backlogged.contains(client);
    }

    /** Returns whether the client waits with input left from an earlier quantum. */
    public boolean isBacklogged(C client) {
        return backlogged.contains(client);
    }

    /** Returns the number of backlogged clients. */
    public int backlogged() {
        return backlogged.size();
    }

    /** Returns whether no client has input to run. */
    public boolean isEmpty() {
        return ready.isEmpty() && backlogged.isEmpty();
    }
}
