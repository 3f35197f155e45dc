package ploverdale.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;

/** Words in any order, lost and doubled, give the same picture or an older one, never a fresher. */
class ServerObservationTest {
    static final long NOW = 17_672_256_000_000L; // tenths of a ms, Unix

    /** A time of the last ten seconds, or unknown. */
    private static Arbitrary<Long> time() {
        return Arbitraries.longs()
                .between(NOW - 100_000, NOW)
                .injectNull(0.2)
                .map(t -> t == null ? LoadReport.UNKNOWN_TIME : t);
    }

    @Provide
    static Arbitrary<ServerObservation> words() {
        Arbitrary<ServerObservation> known = Combinators.combine(
                        Arbitraries.of(Role.PRIMARY, Role.REPLICA), time(), time(), time(), time(), time(), time())
                .as((role, roleAt, placedAt, alive, silent, cold, drain) -> new ServerObservation(
                        roleAt == LoadReport.UNKNOWN_TIME ? Role.UNKNOWN : role,
                        roleAt,
                        placedAt == LoadReport.UNKNOWN_TIME ? placedAt : placedAt - 500,
                        placedAt,
                        alive,
                        silent,
                        cold,
                        drain));
        return known;
    }

    private static ServerObservation all(List<ServerObservation> words) {
        return words.stream().reduce(ServerObservation.NONE, ServerObservation::join);
    }

    @Property(seed = "7")
    void orderAndRepetitionChangeNothing(
            @ForAll @Size(max = 8) List<@From("words") ServerObservation> words, @ForAll Random random) {
        List<ServerObservation> other = new ArrayList<>(words);
        other.addAll(words.subList(0, words.size() / 2));
        Collections.shuffle(other, random);
        assertThat(all(other)).isEqualTo(all(words));
        assertThat(all(words).join(all(words))).isEqualTo(all(words));
    }

    @Property(seed = "8")
    void lossMakesOlderNeverFresher(@ForAll @Size(min = 1, max = 8) List<@From("words") ServerObservation> words) {
        ServerObservation part = all(words.subList(0, words.size() - 1));
        assertOlder(part, all(words));
        assertThat(part.join(all(words))).isEqualTo(all(words));
    }

    @Property(seed = "9")
    void aWordLosesOnItsWayButNeverGains(@ForAll("words") ServerObservation word) {
        Datagram sent = new Datagram(Datagram.Kind.OBSERVATIONS, NOW + 7, java.util.Map.of(5, word));
        ServerObservation came = DatagramCodec.decode(DatagramCodec.encode(sent))
                .datagram()
                .observations()
                .get(5);
        assertOlder(came, word);
        assertThat(came.role()).isEqualTo(word.role());
        if (word.position() != LoadReport.UNKNOWN_TIME) {
            assertThat(word.position() - came.position()).isBetween(0L, 9L);
            assertThat(word.roleAt() - came.roleAt()).isBetween(0L, 120L);
        }
    }

    private static void assertOlder(ServerObservation older, ServerObservation newer) {
        assertThat(older.roleAt()).isLessThanOrEqualTo(newer.roleAt());
        assertThat(older.position()).isLessThanOrEqualTo(newer.position());
        assertThat(older.positionAt()).isLessThanOrEqualTo(newer.positionAt());
        assertThat(older.aliveAt()).isLessThanOrEqualTo(newer.aliveAt());
        assertThat(older.silentAt()).isLessThanOrEqualTo(newer.silentAt());
        assertThat(older.coldSince()).isLessThanOrEqualTo(newer.coldSince());
        assertThat(older.drainAt()).isLessThanOrEqualTo(newer.drainAt());
    }

    @Property(seed = "10")
    void whatIsTooOldIsForgottenButADrainAndAColdStart(@ForAll("words") ServerObservation word) {
        ServerObservation later = word.since(NOW + 1);
        assertThat(later.withRoleOlder(0))
                .isEqualTo(new ServerObservation(
                        Role.UNKNOWN,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        word.coldSince(),
                        word.drainAt()));
        assertThat(word.since(NOW - 200_000)).isEqualTo(word);
    }
}
