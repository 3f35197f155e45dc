package ploverdale.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ploverdale.settings.JsonFields;

/** Parses the actions in one line of output of the simulator's wire. */
final class ReplyActions {
    private ReplyActions() {}

    /** One action with its fields. */
    record Action(String name, JsonFields fields) {
        String gateway() {
            return fields.text("gateway");
        }

        String text(String field) {
            return fields.text(field);
        }

        double number(String field) {
            return fields.number(field);
        }
    }

    static List<Action> parse(String reply) {
        try (JsonParser parser = new JsonFactory().createParser(reply)) {
            parser.nextToken();
            List<Action> actions = new ArrayList<>();
            for (Object action : JsonFields.of("reply", JsonFields.read(parser)).list("out")) {
                Map.Entry<?, ?> entry =
                        ((Map<?, ?>) action).entrySet().iterator().next();
                actions.add(new Action((String) entry.getKey(), JsonFields.of("action", entry.getValue())));
            }
            return actions;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
