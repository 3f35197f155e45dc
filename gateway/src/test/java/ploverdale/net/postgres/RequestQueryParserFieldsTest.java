package ploverdale.net.postgres;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;

/** Tests that fields of a comment that no request has are neither kept nor paid for. */
class RequestQueryParserFieldsTest {
    private static final int FIELDS = 8000;
    private static final int REPEATS = 20;

    private static byte[] query(int otherFields) {
        StringBuilder text = new StringBuilder("SELECT val FROM state WHERE uid = 'k' /* id=a,c=page,");
        for (int i = 0; i < otherFields; i++) {
            text.append('f').append(i).append("=1,");
        }
        return text.append("t=north,d=100,cluster=3,r=1,after=7 */").toString().getBytes(UTF_8);
    }

    private static long allocatedBytes(byte[] text) {
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        RequestQueryParser.parse(text);
        long before = threads.getCurrentThreadAllocatedBytes();
        for (int i = 0; i < REPEATS; i++) {
            RequestQueryParser.parse(text);
        }
        return (threads.getCurrentThreadAllocatedBytes() - before) / REPEATS;
    }

    @Test
    void aRequestIsReadAmongThousandsOfOtherFields() {
        assertThat(RequestQueryParser.parse(query(FIELDS)))
                .isInstanceOfSatisfying(ClientMessage.RequestQuery.class, request -> {
                    assertThat(request.id()).isEqualTo("a");
                    assertThat(request.requestClass()).isEqualTo("page");
                    assertThat(request.tenant()).isEqualTo("north");
                    assertThat(request.timeoutMs()).isEqualTo(100);
                    assertThat(request.group()).isEqualTo(3);
                    assertThat(request.resubmitted()).isTrue();
                    assertThat(request.minPositionMs()).isEqualTo(7);
                });
    }

    @Test
    void otherFieldsOfACommentAreNotCopied() {
        assertThat(allocatedBytes(query(FIELDS)))
                .as("bytes allocated for a comment with %d other fields of some 7 bytes", FIELDS)
                .isLessThan(FIELDS);
    }
}
