package ploverdale.routing;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Action;

/** The event that is being decided on: its time, and the actions decided on so far, in their order. */
final class DecisionContext {
    private long now;
    private List<Action> actions = new ArrayList<>();

    /** Begins with the next event. */
    void begin(long time) {
        now = time;
        actions = new ArrayList<>();
    }

    /** The time of the event. */
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

    /** The actions of the event. */
    List<Action> actions() {
        return actions;
    }
}
