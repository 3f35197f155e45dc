package ploverdale.membership;

/**
 * The state of a member as known to the sender; piggybacked on other messages.
 *
 * @param member the number of the member that the update is about; may be out of range if it was received from the
 *     network
 * @param incarnation the incarnation of that member
 * @param state the state of that member; never {@link MemberState#UNKNOWN} on the network
 */
record MemberUpdate(int member, long incarnation, MemberState state) {}
