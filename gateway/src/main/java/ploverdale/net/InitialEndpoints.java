package ploverdale.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import ploverdale.settings.EndpointList;

/**
 * Buffers the endpoint lists that arrive during the start until they may be put in force. The configured list may be
 * older than what discovery reported before this process started, so it is put in force only if discovery has not
 * answered in time, or if the answer is at most one revision newer. Used on the event loop only.
 */
final class InitialEndpoints {
    private final Consumer<EndpointList> updates;
    private final List<EndpointList> heldBack = new ArrayList<>();
    private boolean released;

    /** @param updates receives the lists that are in force, in order */
    InitialEndpoints(Consumer<EndpointList> updates) {
        this.updates = updates;
    }

    /** Handles a list from discovery, or an update of one. */
    void onList(EndpointList list) {
        if (released) {
            updates.accept(list);
        } else {
            heldBack.add(list);
        }
    }

    /** Returns whether discovery has answered with a complete list. */
    boolean hasAnswer() {
        return released || heldBack.stream().anyMatch(EndpointList::complete);
    }

    /**
     * Puts the lists received so far in force, and from now on each list as it arrives.
     *
     * @param configured the list of the configuration, which comes first unless discovery's list replaces it
     */
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
