package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The script of a day: when what happens to whom. It is written as text, a line a step, so that a day that was played can
 * be kept, cut down by hand and played again. Times in milliseconds from the moment at which all gateways serve.
 *
 * @param seed of all chance on that day
 * @param lastsMs until the clients ask no more
 */
public record FaultSchedule(long seed, int gateways, long lastsMs, List<Step> steps) {
    /** What may happen; in brackets what follows the word. */
    public enum What {
        /** SIGKILL (gateway). */
        KILL(1),
        /** It is started again under its name (gateway). */
        START(1),
        /** SIGSTOP (gateway). */
        STOP(1),
        /** SIGCONT (gateway). */
        GO_ON(1),
        /** SIGTERM (gateway). */
        LEAVE(1),
        /** The way of connections (gateway, a server or "discovery" or "clients", a {@link FaultyLink.State} or delay:MS or bytes:N or reset). */
        WAY(3),
        /** Datagrams in one direction (from, to, loss:SHARE or twice:SHARE or delay:MS or usual). */
        WORDS(3),
        /** A database server (id, a fault, or heals, restarts, drains, removes or returns). */
        SERVER(2),
        /** A new configuration that names another agent, and SIGHUP (gateway, agent). */
        HANG_UP(2),
        /** A discovery agent (gateway, agent, a {@link DiscoveryAgent.State} or delay:MS or trickle:MS). */
        AGENT(3);

        private final int words;

        What(int words) {
            this.words = words;
        }
    }

    /** One step. */
    public record Step(long atMs, What what, List<String> words) {
        public Step {
            if (words.size() != what.words) {
                throw new IllegalArgumentException(what + " takes " + what.words + " words, not " + words);
            }
        }

        public static Step of(long atMs, What what, Object... words) {
            return new Step(
                    atMs,
                    what,
                    java.util.Arrays.stream(words).map(Object::toString).toList());
        }

        @Override
        public String toString() {
            return atMs + " " + what.name().toLowerCase(java.util.Locale.ROOT) + " " + String.join(" ", words);
        }
    }

    public FaultSchedule {
        steps = steps.stream().sorted(Comparator.comparingLong(Step::atMs)).toList();
    }

    /** The day with these steps in place of its own. */
    public FaultSchedule with(List<Step> others) {
        return new FaultSchedule(seed, gateways, lastsMs, others);
    }

    /** As it is written down. */
    public String text() {
        return "day seed=" + seed + " gateways=" + gateways + " lasts=" + lastsMs + "\n"
                + steps.stream().map(s -> s + "\n").collect(Collectors.joining());
    }

    /** Reads what {@link #text} wrote; a mistake is named with its line. */
    public static FaultSchedule read(String text) {
        List<String> lines = text.lines()
                .map(String::strip)
                .filter(l -> !l.isEmpty() && !l.startsWith("#"))
                .toList();
        if (lines.isEmpty() || !lines.get(0).startsWith("day ")) {
            throw new IllegalArgumentException("a day begins with: day seed=N gateways=N lasts=MS");
        }
        long seed = number(lines.get(0), "seed");
        List<Step> steps = new ArrayList<>();
        for (String l : lines.subList(1, lines.size())) {
            String[] words = l.split("\\s+");
            try {
                steps.add(new Step(
                        Long.parseLong(words[0]),
                        What.valueOf(words[1].toUpperCase(java.util.Locale.ROOT)),
                        List.of(words).subList(2, words.length)));
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                throw new IllegalArgumentException("not a step: " + l + " (" + e.getMessage() + ")");
            }
        }
        return new FaultSchedule(seed, (int) number(lines.get(0), "gateways"), number(lines.get(0), "lasts"), steps);
    }

    private static long number(String line, String field) {
        for (String word : line.split("\\s+")) {
            if (word.startsWith(field + "=")) {
                return Long.parseLong(word.substring(field.length() + 1));
            }
        }
        throw new IllegalArgumentException("a day without " + field + "=N: " + line);
    }
}
