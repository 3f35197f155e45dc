package ploverdale.terms;

/** Something told to the program that cannot be read; the message names the field. */
public final class Unreadable extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Unreadable(String message) {
        super(message);
    }
}
