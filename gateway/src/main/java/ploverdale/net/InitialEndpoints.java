package ploverdale.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import ploverdale.settings.EndpointList;

/**
 * Holds back all endpoint lists until the first of a start may be put in force. The configured list may be older than what discovery
 * told before this process started, so it is put in force only where discovery has not answered in time, or where its answer
 * continues it. Used on the event loop only.
 */
final class InitialEndpoints {
    private final Consumer<EndpointList> updates;
    private final List<EndpointList> heldBack = new ArrayList<>();
    private boolean released;

    /** @param updates receives the lists that are in force, in their order */
    InitialEndpoints(Consumer<EndpointList> updates) {
        this.updates = updates;
    }

    /** Takes a list of discovery, or an update of one. */
    void onList(EndpointList list) {
        if (released) {
            updates.accept(list);
        } else {
            heldBack.add(list);
        }
    }

    /** Whether discovery has answered with its complete list. */
    boolean hasAnswer() {
        return released || heldBack.stream().anyMatch(EndpointList::complete);
    }

    /** Puts in force what discovery has answered so far, and from now on each list at once. */
    void release(EndpointList configured) {
        released = true;
        boolean isReplaced =
                heldBack.stream().anyMatch(list -> list.complete() && list.revision() > configured.revision() + 1);
        if (!isReplaced) {
            updates.accept(configured);
        }
        heldBack.forEach(updates);
        heldBack.clear();
    }
}
