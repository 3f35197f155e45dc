package ploverdale.gossip;

import java.util.Map;

/**
 * A gossip message. Messages do not depend on each other and may arrive in any order. {@link DatagramCodec} encodes
 * them.
 *
 * @param kind purpose of the message
 * @param sentAt sending time on the sender's wall clock, in tenths of a millisecond
 * @param observations observations by {@link ServerHash} of the server; by its short form if the kind {@linkplain
 *     Kind#isPositions holds positions}. At most {@link DatagramCodec#MAX_OBSERVATIONS}, or {@link
 *     DatagramCodec#MAX_POSITIONS} if it holds positions; not copied
 */
public record Datagram(Kind kind, long sentAt, Map<Integer, ServerObservation> observations) {
    /** Purpose of a datagram. The ordinal is the code on the wire. */
    public enum Kind {
        /** Requests a snapshot of all that the receiver knows. */
        SNAPSHOT_REQUEST,
        /** Holds observations: changes, or part of a snapshot. */
        OBSERVATIONS,
        /** Announces that the sender shuts down, and holds part of its last snapshot. */
        LEAVE,
        /** Reports log positions to the collector, see {@link PositionExchange}. */
        POSITION_REPORT,
        /** Holds log positions from the collector, which the receiver relays to its group. */
        POSITIONS_TO_RELAY,
        /** Holds log positions from the collector, which the receiver does not relay. */
        POSITIONS;

        /** Returns whether the datagram holds only log positions and roles, encoded by {@link PositionCodec}. */
        boolean isPositions() {
            return this == POSITION_REPORT || this == POSITIONS_TO_RELAY || this == POSITIONS;
        }
    }
}
