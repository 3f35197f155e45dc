package ploverdale.model;

/**
 * Identifies one submission of a request. The events and actions of a submission may still be on their way when its
 * client, or another one, sends the same id again, so the id alone does not tell the two apart.
 *
 * @param value the id that the client sent
 * @param submission tells submissions with the same id apart; 0 where no id comes again while it is in use
 */
public record RequestId(String value, long submission) {
    /** Creates the id of a request whose id does not come again while it is in use. */
    public RequestId(String value) {
        this(value, 0);
    }
}
