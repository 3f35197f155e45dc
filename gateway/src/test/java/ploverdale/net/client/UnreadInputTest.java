package ploverdale.net.client;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a close may be hidden behind unread input. */
class UnreadInputTest {
    private static final int SMALL = 300;
    private static final int FULL = 16 * 1024;

    private final UnreadInput input = new UnreadInput(0);

    @Test
    void aRequestOnANewConnectionHidesNothing() {
        input.onRead(SMALL, true, 1, 0);
        assertThat(input.mayHideClose(true, 2)).isFalse();
        assertThat(input.mayHideClose(true, 500)).isFalse();
    }

    @Test
    void aClientMayHaveGoneBeforeItsConnectionWasAcceptedIfMoreIsUnread() {
        input.onRead(FULL, false, 1, 0);
        assertThat(input.mayHideClose(false, 1)).isTrue();
    }

    @Test
    void unreadInputHidesACloseOnlyAfterSomeTime() {
        input.onRead(SMALL, true, 1, 0);
        input.onRead(FULL, false, 1000, 0);
        assertThat(input.mayHideClose(false, 1040)).isFalse();
        assertThat(input.mayHideClose(false, 1050)).isTrue();
    }

    @Test
    void bytesThatMayHaveWaitedWhileTheLoopLaggedCountFromThen() {
        input.onRead(SMALL, true, 1, 0);
        input.onRead(FULL, false, 1000, 40);
        assertThat(input.mayHideClose(false, 1010)).isTrue();
    }

    private void readMessages(int bytes, int messages, long atMs) {
        input.onRead(bytes, true, atMs, 0);
        for (int i = 0; i < messages; i++) {
            input.onPipelinedMessage();
        }
    }

    @Test
    void aClientThatKeepsSendingMuchMayHaveMoreThanTheReceiveWindowAllows() {
        readMessages(SMALL, 1, 1);
        for (int ms = 1000; ms <= 1060; ms++) {
            readMessages(FULL, 50, ms);
        }
        assertThat(input.mayHideClose(true, 1061)).isTrue();
        assertThat(input.mayHideClose(true, 1260))
                .as("TCP may hold back the rest")
                .isTrue();
        assertThat(input.mayHideClose(true, 1600)).as("after a pause").isFalse();
    }

    @Test
    void aFewLargeMessagesHideNothing() {
        for (int ms = 1000; ms <= 1200; ms += 10) {
            readMessages(2 * FULL, 1, ms);
            assertThat(input.mayHideClose(true, ms)).isFalse();
        }
    }

    @Test
    void aClientThatWaitsForEachAnswerHidesNothingHoweverFastItIs() {
        for (int ms = 0; ms < 2000; ms++) {
            for (int i = 0; i < 10; i++) {
                readMessages(SMALL, 0, ms);
                assertThat(input.mayHideClose(true, ms)).isFalse();
            }
        }
    }

    @Test
    void aClientThatKeepsSendingLittleHidesNothing() {
        for (int ms = 0; ms < 4000; ms += 4) {
            readMessages(SMALL, 2, ms);
            assertThat(input.mayHideClose(true, ms)).isFalse();
        }
    }

    @Test
    void pausedInputHidesACloseUntilItIsReadToTheEndAgain() {
        input.onRead(SMALL, true, 1, 0);
        input.setPaused(true, 1000);
        assertThat(input.mayHideClose(true, 1040)).isFalse();
        assertThat(input.mayHideClose(true, 1051)).isTrue();
        input.setPaused(false, 1100);
        input.onRead(SMALL, true, 1101, 0);
        assertThat(input.mayHideClose(true, 1102)).isFalse();
    }
}
