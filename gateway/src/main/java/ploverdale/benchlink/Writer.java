package ploverdale.benchlink;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.HexFormat;
import ploverdale.model.Action;

/** Writes actions as the wire words them. */
final class Writer {
    private Writer() {}

    static void write(JsonGenerator g, String gateway, Action action) throws IOException {
        if (action instanceof Action.StartAttempt a) {
            open(g, "ROUTE", gateway);
            g.writeStringField("ref", a.request().text());
            tenths(g, "capMs", a.timeLimit());
            g.writeStringField("server", a.server().text());
        } else if (action instanceof Action.CancelAttempt a) {
            open(g, "ABANDON", gateway);
            g.writeStringField("ref", a.request().text());
            g.writeNumberField("roundNo", a.send());
        } else if (action instanceof Action.RejectRequest a) {
            open(g, "BOUNCE", gateway);
            g.writeStringField("ref", a.request().text());
            tenths(g, "notBeforeForMs", a.retryAfter());
        } else if (action instanceof Action.FailRequest a) {
            open(g, "ABORT", gateway);
            g.writeStringField("ref", a.request().text());
        } else if (action instanceof Action.SetTimer a) {
            open(g, "WAKE_AT", gateway);
            tenths(g, "atMs", a.at());
            g.writeNumberField("tag", a.mark());
        } else if (action instanceof Action.CheckHealth a) {
            open(g, "TOUCH", gateway);
            g.writeStringField("server", a.server().text());
        } else if (action instanceof Action.CloseIdleConnections a) {
            open(g, "DROP_CONNS", gateway);
            g.writeStringField("server", a.server().text());
        } else if (action instanceof Action.WatchEndpoints) {
            open(g, "KEEP_INFORMED", gateway);
            g.writeBooleanField("enable", true);
        } else if (action instanceof Action.SendGossip a) {
            open(g, "BROADCAST_TO", gateway);
            g.writeNumberField("whom", a.peer());
            g.writeStringField("body", HexFormat.of().formatHex(a.bytes()));
        } else if (action instanceof Action.LogLine a) {
            open(g, "REMARK", gateway);
            g.writeStringField("text", a.text());
        }
        close(g);
    }

    static void broken(JsonGenerator g, String gateway, String text) throws IOException {
        open(g, "BROKEN", gateway);
        g.writeStringField("text", text);
        close(g);
    }

    private static void open(JsonGenerator g, String name, String gateway) throws IOException {
        g.writeStartObject();
        g.writeObjectFieldStart(name);
        g.writeStringField("gateway", gateway);
    }

    private static void close(JsonGenerator g) throws IOException {
        g.writeEndObject();
        g.writeEndObject();
    }

    private static void tenths(JsonGenerator g, String name, long tenths) throws IOException {
        if (tenths % 10 == 0) {
            g.writeNumberField(name, tenths / 10);
        } else {
            g.writeNumberField(name, tenths / 10.0);
        }
    }
}
