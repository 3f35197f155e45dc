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
    private final List<EndpointList> buffered = new ArrayList<>();
    private boolean loaded;

    /** @param updates receives the lists that are in force, in order */
    InitialEndpoints(Consumer<EndpointList> updates) {
        this.updates = updates;
    }

    /** Handles a list from discovery, or an update of one. */
    void onList(EndpointList list) {
        if (loaded) {
            updates.accept(list);
        } else {
            buffered.add(list);
        }
    }

    /** Returns whether discovery has answered with a complete list. */
    boolean hasDiscoveryAnswered() {
        return loaded || buffered.stream().anyMatch(EndpointList::complete);
    }

    /**
     * Puts the lists received so far in force, and from now on each list as it arrives.
     *
     * @param configured the list of the configuration, which comes first unless discovery's list replaces it
     */
    void load(EndpointList configured) {
        loaded = true;
        boolean isReplaced =
                buffered.stream().anyMatch(list -> list.complete() && list.revision() > configured.revision() + 1);
        if (!isReplaced) {
            updates.accept(configured);
        }
        buffered.forEach(updates);
        buffered.clear();
    }
}
