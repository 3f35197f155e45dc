package ploverdale.membership;

/**
 * What a member believes of a member, as it is piggybacked on other messages.
 *
 * @param member the number of the member that it is about; may be out of range where it comes from the network
 * @param incarnation of that member
 * @param state never {@link MemberState#UNKNOWN} on the network
 */
record MemberUpdate(int member, long incarnation, MemberState state) {}
