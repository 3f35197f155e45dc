package ploverdale.benchlink;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HexFormat;
import ploverdale.model.Action;
import ploverdale.model.ActionHandler;

/** Encodes the actions of one gateway for the simulator. Not thread-safe. */
final class WireActionWriter implements ActionHandler {
    /** Writes the fields of one action. */
    private interface FieldsWriter {
        void write() throws IOException;
    }

    private final JsonGenerator json;
    private final String gateway;

    WireActionWriter(JsonGenerator json, String gateway) {
        this.json = json;
        this.gateway = gateway;
    }

    /** Writes one action. */
    void write(Action action) throws IOException {
        unwrappingIoExceptions(() -> action.dispatchTo(this));
    }

    /** Reports that the gateway failed to handle an event. */
    void writeFault(String text) throws IOException {
        unwrappingIoExceptions(() -> object("BROKEN", () -> json.writeStringField("text", text)));
    }

    /** Runs this, and throws the cause of an {@link UncheckedIOException} in its place. */
    private static void unwrappingIoExceptions(Runnable write) throws IOException {
        try {
            write.run();
        } catch (UncheckedIOException failure) {
            throw failure.getCause();
        }
    }

    @Override
    public void startAttempt(Action.StartAttempt attempt) {
        object("ROUTE", () -> {
            json.writeStringField("ref", attempt.request().value());
            tenths("capMs", attempt.timeLimit());
            json.writeStringField("server", attempt.server().value());
        });
    }

    @Override
    public void cancelAttempt(Action.CancelAttempt cancellation) {
        object("ABANDON", () -> {
            json.writeStringField("ref", cancellation.request().value());
            json.writeNumberField("roundNo", cancellation.attempt());
        });
    }

    @Override
    public void rejectRequest(Action.RejectRequest rejection) {
        object("BOUNCE", () -> {
            json.writeStringField("ref", rejection.request().value());
            tenths("notBeforeForMs", rejection.retryAfter());
        });
    }

    @Override
    public void failRequest(Action.FailRequest failure) {
        object("ABORT", () -> json.writeStringField("ref", failure.request().value()));
    }

    @Override
    public void setTimer(Action.SetTimer timer) {
        object("WAKE_AT", () -> {
            tenths("atMs", timer.at());
            json.writeNumberField("tag", timer.mark());
        });
    }

    @Override
    public void checkHealth(Action.CheckHealth check) {
        object("TOUCH", () -> json.writeStringField("server", check.server().value()));
    }

    @Override
    public void closeIdleConnections(Action.CloseIdleConnections close) {
        object(
                "DROP_CONNS",
                () -> json.writeStringField("server", close.server().value()));
    }

    @Override
    public void watchEndpoints(Action.WatchEndpoints watch) {
        object("KEEP_INFORMED", () -> json.writeBooleanField("enable", true));
    }

    @Override
    public void sendGossip(Action.SendGossip gossip) {
        object("BROADCAST_TO", () -> {
            json.writeNumberField("whom", gossip.peer());
            json.writeStringField("body", HexFormat.of().formatHex(gossip.bytes()));
        });
    }

    @Override
    public void writeLogLine(Action.LogLine line) {
        object("REMARK", () -> json.writeStringField("text", line.text()));
    }

    /** Writes the object of one action, which names the gateway first. */
    private void object(String name, FieldsWriter fields) {
        try {
            json.writeStartObject();
            json.writeObjectFieldStart(name);
            json.writeStringField("gateway", gateway);
            fields.write();
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Writes tenths of a millisecond as milliseconds, with a fraction only if there is one. */
    private void tenths(String name, long tenths) throws IOException {
        if (tenths % 10 == 0) {
            json.writeNumberField(name, tenths / 10);
        } else {
            json.writeNumberField(name, tenths / 10.0);
        }
    }
}
