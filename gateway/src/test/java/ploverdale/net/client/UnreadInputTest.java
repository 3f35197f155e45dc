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
        assertThat(input.mayHideClose(true, false, 2)).isFalse();
        assertThat(input.mayHideClose(true, false, 500)).isFalse();
    }

    @Test
    void aClientMayHaveGoneBeforeItsConnectionWasAcceptedIfMoreIsUnread() {
        input.onRead(FULL, false, 1, 0);
        assertThat(input.mayHideClose(false, true, 1)).isTrue();
    }

    @Test
    void unreadInputHidesACloseOnlyAfterSomeTime() {
        input.onRead(SMALL, true, 1, 0);
        input.onRead(FULL, false, 1000, 0);
        assertThat(input.mayHideClose(false, true, 1040)).isFalse();
        assertThat(input.mayHideClose(false, true, 1050)).isTrue();
    }

    @Test
    void bytesThatMayHaveWaitedWhileTheLoopLaggedCountFromThen() {
        input.onRead(SMALL, true, 1, 0);
        input.onRead(FULL, false, 1000, 40);
        assertThat(input.mayHideClose(false, true, 1010)).isTrue();
    }

    @Test
    void aClientThatKeepsSendingMuchMayHaveMoreThanTheReceiveWindowAllows() {
        input.onRead(SMALL, true, 1, 0);
        for (int ms = 1000; ms <= 1060; ms++) {
            input.onRead(FULL, true, ms, 0);
        }
        assertThat(input.mayHideClose(true, true, 1061)).isTrue();
        assertThat(input.mayHideClose(true, false, 1061))
                .as("its last request, with nothing behind")
                .isFalse();
        assertThat(input.mayHideClose(true, true, 1101)).as("after a pause").isFalse();
    }

    @Test
    void aClientThatKeepsSendingLittleHidesNothing() {
        for (int ms = 0; ms < 1000; ms++) {
            input.onRead(SMALL, true, ms, 0);
            assertThat(input.mayHideClose(true, true, ms)).isFalse();
        }
    }

    @Test
    void pausedInputHidesACloseUntilItIsReadToTheEndAgain() {
        input.onRead(SMALL, true, 1, 0);
        input.setPaused(true, 1000);
        assertThat(input.mayHideClose(true, true, 1040)).isFalse();
        assertThat(input.mayHideClose(true, true, 1051)).isTrue();
        input.setPaused(false, 1100);
        input.onRead(SMALL, true, 1101, 0);
        assertThat(input.mayHideClose(true, true, 1102)).isFalse();
    }
}
