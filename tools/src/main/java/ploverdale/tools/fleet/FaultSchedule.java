package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import ploverdale.tools.stand.FloodForm;

/**
 * A timed list of the faults of one run. Its text form has one line per step, so that a schedule can be kept, shortened by
 * hand and run again. Times are in milliseconds after the moment at which all gateways serve.
 *
 * @param seed of all random decisions of the run
 * @param gateways how many gateways the run starts; their names are n0, n1, and so on
 * @param lastsMs how long the clients send requests
 * @param steps ordered by time
 */
public record FaultSchedule(long seed, int gateways, long lastsMs, List<Step> steps) {
    /** The kinds of steps. Their lower-case names are part of the text form; the arguments are given in brackets. */
    public enum Action {
        /** Kills a gateway with SIGKILL (gateway). */
        KILL(1),
        /** Starts a gateway again under the same name (gateway). */
        START(1),
        /** Pauses a gateway with SIGSTOP (gateway). */
        STOP(1),
        /** Resumes a gateway with SIGCONT (gateway). */
        GO_ON(1),
        /** Shuts a gateway down gracefully with SIGTERM (gateway). */
        LEAVE(1),
        /**
         * Changes a TCP link (gateway, a server or "discovery" or "clients", a {@link FaultyLink.State} or delay:MS or bytes:N
         * or late:SHARE or reset). Bytes are per second and direction; late is the share of answers that are delayed.
         */
        WAY(3),
        /** Changes the datagrams between gateways (sender, receiver, loss:SHARE or twice:SHARE or delay:MS or usual). */
        WORDS(3),
        /** Changes a database server (id, a fault, or heals, restarts, drains, removes or returns). */
        SERVER(2),
        /** Writes settings that name another discovery agent and sends SIGHUP, once it has started (gateway, agent). */
        HANG_UP(2),
        /** Changes a discovery agent (gateway, agent, a {@link DiscoveryAgent.State} or delay:MS or trickle:MS). */
        AGENT(3),
        /**
         * Starts clients that send one form of message at full speed (gateway, a {@link FloodForm}, clients, duration in
         * milliseconds, "read" or "unread" for what becomes of the answers, bytes that a connection sends at most).
         */
        FLOOD(6);

        private final int argumentCount;

        Action(int argumentCount) {
            this.argumentCount = argumentCount;
        }
    }

    /** One action with its arguments, at one time. */
    public record Step(long atMs, Action action, List<String> arguments) {
        public Step {
            if (arguments.size() != action.argumentCount) {
                throw new IllegalArgumentException(
                        action + " takes " + action.argumentCount + " arguments, got " + arguments);
            }
        }

        /** Returns a step whose arguments are the texts of the given objects. */
        public static Step of(long atMs, Action action, Object... arguments) {
            return new Step(
                    atMs,
                    action,
                    java.util.Arrays.stream(arguments).map(Object::toString).toList());
        }

        /** Returns the step's line of the text form. */
        @Override
        public String toString() {
            return atMs + " " + action.name().toLowerCase(java.util.Locale.ROOT) + " " + String.join(" ", arguments);
        }
    }

    public FaultSchedule {
        steps = steps.stream().sorted(Comparator.comparingLong(Step::atMs)).toList();
    }

    /** Returns this schedule with the given steps in place of its own. */
    public FaultSchedule with(List<Step> replacement) {
        return new FaultSchedule(seed, gateways, lastsMs, replacement);
    }

    /** Returns the text form, which {@link #read} parses. */
    public String text() {
        return "day seed=" + seed + " gateways=" + gateways + " lasts=" + lastsMs + "\n"
                + steps.stream().map(s -> s + "\n").collect(Collectors.joining());
    }

    /**
     * Parses the text form. Empty lines and lines that begin with # are skipped.
     *
     * @throws IllegalArgumentException if a line is malformed; the message quotes the line
     */
    public static FaultSchedule read(String text) {
        List<String> lines = text.lines()
                .map(String::strip)
                .filter(l -> !l.isEmpty() && !l.startsWith("#"))
                .toList();
        if (lines.isEmpty() || !lines.get(0).startsWith("day ")) {
            throw new IllegalArgumentException("a fault schedule begins with: day seed=N gateways=N lasts=MS");
        }
        long seed = headerField(lines.get(0), "seed");
        List<Step> steps = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            String[] words = line.split("\\s+");
            try {
                steps.add(new Step(
                        Long.parseLong(words[0]),
                        Action.valueOf(words[1].toUpperCase(java.util.Locale.ROOT)),
                        List.of(words).subList(2, words.length)));
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                throw new IllegalArgumentException("malformed step: " + line + " (" + e.getMessage() + ")");
            }
        }
        return new FaultSchedule(
                seed, (int) headerField(lines.get(0), "gateways"), headerField(lines.get(0), "lasts"), steps);
    }

    private static long headerField(String header, String field) {
        for (String word : header.split("\\s+")) {
            if (word.startsWith(field + "=")) {
                return Long.parseLong(word.substring(field.length() + 1));
            }
        }
        throw new IllegalArgumentException("the first line of a fault schedule lacks " + field + "=N: " + header);
    }
}
