import java.nio.file.Path;

/**
 * Runs one case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. All processes
 * that it started end with it.
 */
public final class Main {
    private static final int MOST_MS = 110_000;

    /** One case. */
    interface Case {
        /**
         * Plays the case.
         *
         * @param folder a temporary folder
         * @param trouble whether the disruption happens
         * @return whether the rule held
         */
        boolean holds(Record record, Path folder, boolean trouble) throws Exception;
    }

    private Main() {}

    public static void main(String[] arguments) {
        ProcessHandle script = ProcessHandle.current().parent().orElseThrow();
        Thread watchdog = new Thread(() -> {
            double until = Clock.now() + MOST_MS;
            while (Clock.now() < until && script.isAlive()) {
                Clock.sleep(200);
            }
            System.out.println(script.isAlive() ? "the case took too long" : "its script has ended");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = 2;
        try {
            Record record = new Record(Path.of(arguments[1]));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.say(trouble ? "with the disruption" : "without the disruption");
            boolean held = byName(arguments[0]).holds(record, Path.of(arguments[2]), trouble);
            record.say(held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (Throwable failure) {
            failure.printStackTrace(System.out);
        }
        System.exit(code);
    }

    private static Case byName(String name) {
        return switch (name) {
            case "session" -> new SessionCase();
            case "keys" -> new KeyCase();
            case "flood" -> new FloodCase();
            case "again" -> new AgainCase();
            case "role" -> new RoleCase();
            default -> throw new IllegalArgumentException("no case " + name);
        };
    }
}
