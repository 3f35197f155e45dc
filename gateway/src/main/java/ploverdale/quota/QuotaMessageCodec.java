package ploverdale.quota;

import java.nio.ByteBuffer;
import java.util.Arrays;
import ploverdale.membership.Packet.Part;

/**
 * Encoding of the messages by which gateways lease partitions and lend units. Numbers are big-endian; a list of units
 * is pairs of a budget's index and a count, 16 bits each. Stateless.
 */
final class QuotaMessageCodec {
    /** Asks an acceptor for the lease of a partition: partition, round. */
    static final int LEASE_REQUEST = 16;
    /** An acceptor promises it: partition, round, start of the one who asked. */
    static final int LEASE_PROMISE = 17;
    /** Asks a lease holder for units: request, loan to extend or 0, units. */
    static final int UNIT_REQUEST = 18;
    /** A lease holder lends units: start of the borrower, request, loan, units. */
    static final int UNIT_GRANT = 19;
    /** A borrower returns units: loan, units that it keeps. */
    static final int UNIT_RETURN = 20;

    static final int LEASE_REQUEST_BYTES = 6;
    static final int LEASE_PROMISE_BYTES = 14;
    static final int UNIT_REQUEST_HEAD_BYTES = 8;
    static final int UNIT_GRANT_HEAD_BYTES = 16;
    static final int UNIT_RETURN_HEAD_BYTES = 4;

    /** In a list of units: the message does not name that budget. */
    static final int NOT_LISTED = -1;

    private static final int MAX_ENTRIES = 40; // budgets in a list of units; others are left out
    private static final int ENTRY_BYTES = 4;

    private QuotaMessageCodec() {}

    static Part leaseRequest(int partition, int round) {
        ByteBuffer content = ByteBuffer.allocate(LEASE_REQUEST_BYTES);
        content.putShort((short) partition).putInt(round);
        return new Part(LEASE_REQUEST, content.array());
    }

    static Part leasePromise(int partition, int round, long askersStart) {
        ByteBuffer content = ByteBuffer.allocate(LEASE_PROMISE_BYTES);
        content.putShort((short) partition).putInt(round).putLong(askersStart);
        return new Part(LEASE_PROMISE, content.array());
    }

    /** @param extendedLoan the lender's number of the loan to extend; 0 for a new one */
    static Part unitRequest(int request, int extendedLoan, int[] units) {
        return withUnits(UNIT_REQUEST, new int[] {request, extendedLoan}, units, 1);
    }

    static Part unitGrant(long borrowersStart, int request, int loan, int[] units) {
        int[] head = {(int) (borrowersStart >>> 32), (int) borrowersStart, request, loan};
        return withUnits(UNIT_GRANT, head, units, 1);
    }

    static Part unitReturn(int loan, int[] keptUnits) {
        return withUnits(UNIT_RETURN, new int[] {loan}, keptUnits, 0);
    }

    /** @param least counts below it are left out of the list */
    private static Part withUnits(int kind, int[] head, int[] units, int least) {
        int listed = (int) Arrays.stream(units).filter(count -> count >= least).count();
        int left = Math.min(listed, MAX_ENTRIES);
        ByteBuffer content = ByteBuffer.allocate(Integer.BYTES * head.length + ENTRY_BYTES * left);
        for (int number : head) {
            content.putInt(number);
        }
        for (int budget = 0; budget < units.length && left > 0; budget++) {
            if (units[budget] >= least) {
                content.putShort((short) budget).putShort((short) units[budget]);
                left--;
            }
        }
        return new Part(kind, content.array());
    }

    /** The rest of a message as units by budget, {@link #NOT_LISTED} for those that it does not name. */
    static int[] readUnits(ByteBuffer content, int budgets) {
        int[] units = new int[budgets];
        Arrays.fill(units, NOT_LISTED);
        while (content.remaining() >= ENTRY_BYTES) {
            int budget = content.getShort() & 0xFFFF;
            int count = content.getShort() & 0xFFFF;
            if (budget < budgets) {
                units[budget] = count;
            }
        }
        return units;
    }
}
