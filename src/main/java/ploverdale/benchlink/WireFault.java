package ploverdale.benchlink;

/** Something on the wire that cannot be read. */
public final class WireFault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFault(String message) {
        super(message);
    }
}
