package ploverdale.model;

/** Carries out each kind of {@link Action}; called by {@link Action#dispatchTo}. */
public interface ActionHandler extends OutboundActionHandler {

    /** Sets a timer. */
    void setTimer(Action.SetTimer timer);

    /** Writes a line to the log. */
    void writeLogLine(Action.LogLine line);
}
