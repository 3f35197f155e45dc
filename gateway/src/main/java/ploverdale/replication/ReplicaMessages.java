package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.Arrays;
import ploverdale.membership.Packet.Part;

/**
 * Encoding of requests to the replicas of a key and of their answers. A request begins with its number and the key;
 * an answer with the start of the one who asked and the number of the request. Numbers are big-endian. Stateless.
 */
final class ReplicaMessages {
    /** A fact to be held. */
    static final int COPY_REQUEST = 32;

    static final int COPY_ANSWER = 33;
    /** Asks for a session's position. */
    static final int POSITION_REQUEST = 34;
    /** The position that reads must reach, and a server's number. */
    static final int POSITION_ANSWER = 35;
    /** Asks to grant a claim: whether it is a first submission, and the fact that holds it. */
    static final int CLAIM_REQUEST = 36;
    /** Whether it is granted, and the fact that is held, if any. */
    static final int CLAIM_ANSWER = 37;

    static final int REQUEST_HEAD_BYTES = Integer.BYTES + Long.BYTES;
    static final int ANSWER_HEAD_BYTES = Long.BYTES + Integer.BYTES;
    static final int POSITION_BYTES = Long.BYTES + Short.BYTES;
    static final int GRANT_BYTES = 1;

    /** In a position's answer: no server is known. */
    static final int NO_SERVER = -1;

    private ReplicaMessages() {}

    static Part request(int number, QuorumRequest request) {
        ByteBuffer content = ByteBuffer.allocate(REQUEST_HEAD_BYTES + GRANT_BYTES + VersionedEntry.MOST);
        content.putInt(number).putLong(request.key);
        switch (request.kind) {
            case COPY -> request.fact.write(content);
            case ASK -> {}
            case CLAIM -> {
                content.put((byte) (request.first ? 1 : 0));
                request.fact.write(content);
            }
            default -> throw new IllegalStateException(request.kind.name());
        }
        return part(request.kind.requestKind, content);
    }

    static Part copyAnswer(long askersStart, int number) {
        return part(COPY_ANSWER, answerHead(askersStart, number));
    }

    static Part positionAnswer(long askersStart, int number, long position, int server) {
        return part(
                POSITION_ANSWER,
                answerHead(askersStart, number).putLong(position).putShort((short) server));
    }

    /** @param known what is held of the write; null where nothing is */
    static Part claimAnswer(long askersStart, int number, boolean granted, WriteOutcome known) {
        ByteBuffer content = answerHead(askersStart, number).put((byte) (granted ? 1 : 0));
        if (known != null) {
            known.write(content);
        }
        return part(CLAIM_ANSWER, content);
    }

    private static ByteBuffer answerHead(long askersStart, int number) {
        int most = ANSWER_HEAD_BYTES + Math.max(POSITION_BYTES, GRANT_BYTES + VersionedEntry.MOST);
        return ByteBuffer.allocate(most).putLong(askersStart).putInt(number);
    }

    private static Part part(int kind, ByteBuffer content) {
        return new Part(kind, Arrays.copyOf(content.array(), content.position()));
    }
}
