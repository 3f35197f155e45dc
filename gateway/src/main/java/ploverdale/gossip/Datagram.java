package ploverdale.gossip;

import java.util.Map;

/**
 * One gossip message; each is useful alone, in any order. {@link DatagramCodec} gives it its bytes.
 *
 * @param kind what the receiver is to do with it
 * @param sentAt by the sender's wall clock, in tenths of a millisecond
 * @param observations by {@link ServerHash}, the short one where the kind {@linkplain Kind#isPositions holds positions};
 *     at most {@link DatagramCodec#MAX_OBSERVATIONS} or {@link DatagramCodec#MAX_POSITIONS}; not copied
 */
public record Datagram(Kind kind, long sentAt, Map<Integer, ServerObservation> observations) {
    /** What a datagram is for. The ordinal is the code on the wire. */
    public enum Kind {
        /** Asks for a snapshot of all that the receiver knows. */
        SNAPSHOT_REQUEST,
        /** Observations: changes, or part of a snapshot. */
        OBSERVATIONS,
        /** The sender shuts down; with its last snapshot. */
        LEAVE,
        /** Log positions for the collector, see {@link PositionExchange}. */
        POSITION_REPORT,
        /** Log positions from the collector, which the receiver is to relay to its group. */
        POSITIONS_TO_RELAY,
        /** Log positions for the receiver alone. */
        POSITIONS;

        /** Whether it holds only log positions and roles, in the short form. */
        boolean isPositions() {
            return this == POSITION_REPORT || this == POSITIONS_TO_RELAY || this == POSITIONS;
        }
    }
}
