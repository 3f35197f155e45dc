package ploverdale.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
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

/** Reordered, lost and repeated observations join to the same or an older observation, never a newer one. */
class ServerObservationTest {
    static final long NOW = 17_672_256_000_000L; // Unix time in tenths of a millisecond

    /** A time within the last ten seconds, or unknown. */
    private static Arbitrary<Long> time() {
        return Arbitraries.longs()
                .between(NOW - 100_000, NOW)
                .injectNull(0.2)
                .map(t -> t == null ? LoadReport.UNKNOWN_TIME : t);
    }

    @Provide
    static Arbitrary<ServerObservation> observations() {
        Arbitrary<ServerObservation> observations = Combinators.combine(
                        Arbitraries.of(Role.PRIMARY, Role.REPLICA), time(), time(), time(), time(), time(), time())
                .as((role, roleAt, positionAt, aliveAt, unresponsiveAt, slowStartAt, drainingAt) ->
                        new ServerObservation(
                                roleAt == LoadReport.UNKNOWN_TIME ? Role.UNKNOWN : role,
                                roleAt,
                                positionAt == LoadReport.UNKNOWN_TIME ? positionAt : positionAt - 500,
                                positionAt,
                                aliveAt,
                                unresponsiveAt,
                                slowStartAt,
                                drainingAt));
        return observations;
    }

    private static ServerObservation joinAll(List<ServerObservation> observations) {
        return observations.stream().reduce(ServerObservation.NONE, ServerObservation::join);
    }

    @Property(seed = "7")
    void theJoinDoesNotDependOnOrderAndRepetition(
            @ForAll @Size(max = 8) List<@From("observations") ServerObservation> observations, @ForAll Random random) {
        List<ServerObservation> reordered = new ArrayList<>(observations);
        reordered.addAll(observations.subList(0, observations.size() / 2));
        Collections.shuffle(reordered, random);
        assertThat(joinAll(reordered)).isEqualTo(joinAll(observations));
        assertThat(joinAll(observations).join(joinAll(observations))).isEqualTo(joinAll(observations));
    }

    @Property(seed = "8")
    void aLostObservationMakesTheJoinOlderButNeverNewer(
            @ForAll @Size(min = 1, max = 8) List<@From("observations") ServerObservation> observations) {
        ServerObservation withoutLast = joinAll(observations.subList(0, observations.size() - 1));
        assertNotNewer(withoutLast, joinAll(observations));
        assertThat(withoutLast.join(joinAll(observations))).isEqualTo(joinAll(observations));
    }

    @Property(seed = "9")
    void aDecodedObservationIsNeverNewerThanTheEncodedOne(@ForAll("observations") ServerObservation observation) {
        Datagram sent = new Datagram(Datagram.Kind.OBSERVATIONS, NOW + 7, Map.of(5, observation));
        ServerObservation decoded = DatagramCodec.decode(DatagramCodec.encode(sent))
                .datagram()
                .observations()
                .get(5);
        assertNotNewer(decoded, observation);
        assertThat(decoded.role()).isEqualTo(observation.role());
        if (observation.position() != LoadReport.UNKNOWN_TIME) {
            assertThat(observation.position() - decoded.position()).isBetween(0L, 9L);
            assertThat(observation.roleAt() - decoded.roleAt()).isBetween(0L, 120L);
        }
    }

    private static void assertNotNewer(ServerObservation older, ServerObservation newer) {
        assertThat(older.roleAt()).isLessThanOrEqualTo(newer.roleAt());
        assertThat(older.position()).isLessThanOrEqualTo(newer.position());
        assertThat(older.positionAt()).isLessThanOrEqualTo(newer.positionAt());
        assertThat(older.aliveAt()).isLessThanOrEqualTo(newer.aliveAt());
        assertThat(older.unresponsiveAt()).isLessThanOrEqualTo(newer.unresponsiveAt());
        assertThat(older.slowStartAt()).isLessThanOrEqualTo(newer.slowStartAt());
        assertThat(older.drainingAt()).isLessThanOrEqualTo(newer.drainingAt());
    }

    @Property(seed = "10")
    void outdatedFieldsAreDroppedExceptDrainingAndSlowStart(@ForAll("observations") ServerObservation observation) {
        ServerObservation outdated = observation.since(NOW + 1);
        assertThat(outdated.withRoleOlder(0))
                .isEqualTo(new ServerObservation(
                        Role.UNKNOWN,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        observation.slowStartAt(),
                        observation.drainingAt()));
        assertThat(observation.since(NOW - 200_000)).isEqualTo(observation);
    }
}
