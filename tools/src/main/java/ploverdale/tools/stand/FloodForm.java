package ploverdale.tools.stand;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.buffer.Buffer;
import java.util.random.RandomGenerator;
import ploverdale.net.postgres.MessageWriter;

/** What a flooding client sends at full speed. */
public enum FloodForm {
    /** Requests for TLS, before the startup message. */
    TLS_REQUESTS(false),
    /** Requests for GSS encryption, before the startup message. */
    GSS_REQUESTS(false),
    /** Empty queries. */
    EMPTY_QUERIES(true),
    /** SET commands, which no comment describes. */
    SET_COMMANDS(true),
    /** Sync messages. */
    SYNCS(true),
    /** Parse messages, each followed by a Sync. */
    PARSES(true),
    /** Bytes that begin no message, so that the gateway closes the connection. */
    UNKNOWN_TYPES(true),
    /** Queries without an id and a timeout. */
    NO_ID(true),
    /** Queries with a timeout of 0. */
    NO_TIME(true),
    /** Queries of request classes that do not exist, each of another one. */
    UNKNOWN_CLASSES(true),
    /** Queries of tenants that do not exist, each of another one. */
    UNKNOWN_TENANTS(true),
    /** Queries for replica groups that do not exist, each for another one. */
    UNKNOWN_GROUPS(true),
    /** Queries whose comment has thousands of short fields. */
    MANY_FIELDS(true),
    /** Valid reads. */
    READS(true),
    /** Messages of all kinds that keep the connection open, in random order. */
    MIXED(true);

    private static final int TLS_CODE = 80877103;
    private static final int GSS_CODE = 80877104;
    private static final int MESSAGES_PER_BLOCK = 200;
    private static final int FIELDS = 8000;
    private static final FloodForm[] IN_MIX = {
        EMPTY_QUERIES, SET_COMMANDS, SYNCS, PARSES, NO_ID, NO_TIME, UNKNOWN_CLASSES, UNKNOWN_GROUPS, READS
    };

    private final boolean afterStartup;

    FloodForm(boolean afterStartup) {
        this.afterStartup = afterStartup;
    }

    /** Returns whether the client completes its startup before it sends this. */
    public boolean isAfterStartup() {
        return afterStartup;
    }

    /**
     * Returns some messages of this form.
     *
     * @param idPrefix begins the id of each request
     * @param firstNumber the first number that makes names unique; the block uses at most
     *     {@link #numbersPerBlock} numbers
     */
    public byte[] block(RandomGenerator random, String idPrefix, long firstNumber) {
        Buffer block = Buffer.buffer();
        int messages = this == MANY_FIELDS ? 1 : MESSAGES_PER_BLOCK;
        for (int i = 0; i < messages; i++) {
            FloodForm form = this == MIXED ? IN_MIX[random.nextInt(IN_MIX.length)] : this;
            block.appendBuffer(form.message(idPrefix, firstNumber + i));
        }
        return block.getBytes();
    }

    /** Returns how many numbers a block uses at most. */
    public static int numbersPerBlock() {
        return MESSAGES_PER_BLOCK;
    }

    private Buffer message(String idPrefix, long number) {
        return switch (this) {
            case TLS_REQUESTS -> Buffer.buffer().appendInt(8).appendInt(TLS_CODE);
            case GSS_REQUESTS -> Buffer.buffer().appendInt(8).appendInt(GSS_CODE);
            case EMPTY_QUERIES -> MessageWriter.query("");
            case SET_COMMANDS -> MessageWriter.query("SET a TO 1");
            case SYNCS -> sync();
            case PARSES -> parse().appendBuffer(sync());
            case UNKNOWN_TYPES -> Buffer.buffer("~~~~~~~~");
            case NO_ID -> MessageWriter.query("SELECT val FROM state /* c=view,t=all,cluster=0 */");
            case NO_TIME -> query(idPrefix + number, "view", "all", 0, 0);
            case UNKNOWN_CLASSES -> query(idPrefix + number, "class" + number, "all", 800, 0);
            case UNKNOWN_TENANTS -> query(idPrefix + number, "view", "tenant" + number, 800, 0);
            case UNKNOWN_GROUPS -> query(idPrefix + number, "view", "all", 800, 1_000 + number);
            case MANY_FIELDS -> MessageWriter.query("SELECT val FROM state /* " + fields() + " */");
            case READS -> query(idPrefix + number, "view", "all", 800, 0);
            case MIXED -> throw new IllegalStateException("a mix has no message of its own");
        };
    }

    private static Buffer sync() {
        return Buffer.buffer().appendByte((byte) 'S').appendInt(4);
    }

    private static Buffer parse() {
        byte[] body = "\0SELECT 1\0\0\0".getBytes(UTF_8);
        return Buffer.buffer().appendByte((byte) 'P').appendInt(4 + body.length).appendBytes(body);
    }

    private static String fields() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < FIELDS; i++) {
            text.append('f').append(i).append("=1,");
        }
        return text.toString();
    }

    private static Buffer query(String id, String requestClass, String tenant, long timeoutMs, long group) {
        return MessageWriter.query("SELECT val FROM state WHERE uid = 'k' /* id=" + id + ",c=" + requestClass + ",t="
                + tenant + ",d=" + timeoutMs + ",cluster=" + group + " */");
    }
}
