package ploverdale.room;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.room.Room.Leave;
import ploverdale.room.Room.Why;

/** Who holds descriptors and who makes way; 64 of them leave 40 for connections, 28 of these for clients. */
class RoomTest {
    private final Room<String> room = new Room<>(64);

    private void idleOnes(int n, long now) {
        for (int i = 0; i < n; i++) {
            room.came("idle" + i, now);
            room.greeted("idle" + i);
            room.idle("idle" + i, now);
        }
    }

    private void askingOnes(int n) {
        for (int i = 0; i < n; i++) {
            room.came("asking" + i, 0);
            room.greeted("asking" + i);
        }
    }

    @Test
    void clientsNeverTakeWhatServersNeed() {
        askingOnes(28);
        assertThat(room.clientFits()).isFalse();
        assertThat(room.wayForClient(10_000)).isNull();
        for (int i = 0; i < 12; i++) {
            assertThat(room.serverFits()).isTrue();
            room.opened();
        }
        assertThat(room.serverFits()).isFalse();
    }

    @Test
    void aStrangerMakesWayBeforeAnyoneWhoHasGreeted() {
        idleOnes(27, 0);
        room.came("stranger", 50);
        assertThat(room.wayForClient(160)).isEqualTo(new Leave<>("stranger", Why.NO_GREETING, 110));
        assertThat(room.wayForClient(120)).isEqualTo(new Leave<>("idle0", Why.IDLE, 120)); // it may greet yet
    }

    @Test
    void whoHasJustBeenLetInIsNotSentAwayAgain() {
        idleOnes(28, 1000);
        assertThat(room.wayForClient(1099)).isNull();
        assertThat(room.wayForServer(1100)).isEqualTo(new Leave<>("idle0", Why.IDLE, 100));
    }

    @Test
    void strangersBeyondTheirPartGoSoonAndOthersAfterTheirTime() {
        for (int i = 0; i < 9; i++) {
            room.came("s" + i, i);
        }
        assertThat(room.overdue(2199)).isNull();
        room.came("s9", 200);
        assertThat(room.overdue(200)).isEqualTo(new Leave<>("s0", Why.NO_GREETING, 200));
        room.left("s0");
        assertThat(room.overdue(300)).isNull();
        assertThat(room.overdue(2201).why()).isEqualTo(Why.NO_GREETING);
    }

    @Test
    void idleOnesStayWhereFewAreAndGoSoonerTheMoreThereAre() {
        idleOnes(9, 0);
        assertThat(room.overdue(60_000)).isNull();
        room.came("tenth", 0);
        room.greeted("tenth");
        assertThat(room.overdue(2099)).isNull();
        assertThat(room.overdue(2100)).isEqualTo(new Leave<>("idle0", Why.IDLE, 2100));
        askingOnes(3);
        assertThat(room.overdue(99)).isNull();
        assertThat(room.overdue(100)).isEqualTo(new Leave<>("idle0", Why.IDLE, 100));
    }

    @Test
    void whatAsksOrIsUnfinishedIsNotIdle() {
        idleOnes(1, 0);
        room.asks("idle0");
        assertThat(room.wayForClient(5000)).isNull();
        room.idle("idle0", 5000);
        room.begun("idle0", 5100);
        room.begun("idle0", 7000); // more of the same message
        assertThat(room.wayForClient(7000)).isNull();
        assertThat(room.overdue(7300)).isEqualTo(new Leave<>("idle0", Why.UNFINISHED, 2200));
        room.whole("idle0");
        assertThat(room.overdue(7300)).isNull();
    }

    @Test
    void aDescriptorCountsUntilItIsClosed() {
        for (int i = 0; i < 48; i++) {
            assertThat(room.mayOpen()).isTrue();
            room.opened();
        }
        assertThat(room.mayOpen()).isFalse();
        room.released();
        assertThat(room.mayOpen()).isFalse();
        room.closed();
        assertThat(room.mayOpen()).isTrue();
    }

    @Test
    void fewerDescriptorsHoldFromThenOn() {
        Room<String> large = new Room<>(1024);
        assertThat(large.clientsMost()).isEqualTo(627);
        large.renew(64);
        assertThat(large.clientsMost()).isEqualTo(28);
    }
}
