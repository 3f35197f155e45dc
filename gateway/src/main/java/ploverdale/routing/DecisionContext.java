package ploverdale.routing;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Action;

/** The event being handled: its time, and the actions that have been decided on so far, in order. */
final class DecisionContext {
    private long now;
    private List<Action> actions = new ArrayList<>();

    /** Starts handling the next event, with an empty list of actions. */
    void begin(long time) {
        now = time;
        actions = new ArrayList<>();
    }

    /** Returns the time of the event, in ticks. */
    long now() {
        return now;
    }

    /** Adds an action. */
    void emit(Action action) {
        actions.add(action);
    }

    /** Adds a log line. */
    void log(String text) {
        actions.add(new Action.LogLine(text));
    }

    /** Returns the actions decided on for this event, in order. */
    List<Action> actions() {
        return actions;
    }
}
