package ploverdale.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static ploverdale.gossip.ServerObservationTest.NOW;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/**
 * The bytes of each kind of datagram, and of a whole recorded exchange. Gateways of different versions read each other.
 */
class GossipWireFormatTest {
    private static final long MS = 10;
    private static final long NEVER = LoadReport.UNKNOWN_TIME;

    private static Map<Integer, ServerObservation> observations(boolean positionsOnly) {
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        ServerId primary = new ServerId("primary-1");
        ServerId replica = new ServerId("replica-2");
        observations.put(
                positionsOnly ? ServerHash.shortOf(primary) : ServerHash.of(primary),
                new ServerObservation(
                        Role.PRIMARY,
                        NOW - 120 * MS,
                        NOW - 75 * MS,
                        NOW - 40 * MS,
                        NOW - 30 * MS,
                        NOW - 9000 * MS,
                        NOW - 20_000 * MS,
                        NEVER));
        observations.put(
                positionsOnly ? ServerHash.shortOf(replica) : ServerHash.of(replica),
                new ServerObservation(
                        Role.REPLICA, NOW - 5000 * MS, NEVER, NEVER, NEVER, NOW - 15 * MS, NEVER, NOW - 333 * MS));
        return observations;
    }

    @ParameterizedTest
    @CsvSource({
        "SNAPSHOT_REQUEST, false, b1010014019b76daa800ab00348f01000c00004b00040003038407d0ffffc71e02d50201f4ffffffffffffff0002ffff00225ddc7859",
        "OBSERVATIONS, false, b1010114019b76daa800ab00348f01000c00004b00040003038407d0ffffc71e02d50201f4ffffffffffffff0002ffff002241f5655d",
        "LEAVE, false, b1010214019b76daa800ab00348f01000c00004b00040003038407d0ffffc71e02d50201f4ffffffffffffff0002ffff0022658e4251",
        "POSITION_REPORT, true, b1010304019b76daa8009f8f804bc5cb7fff872ab6f1",
        "POSITIONS_TO_RELAY, true, b1010404019b76daa8009f8f804bc5cb7fff52d67ae9",
        "POSITIONS, true, b1010504019b76daa8009f8f804bc5cb7fffa0da7717",
    })
    void theEncodingOfEachKindIsUnchanged(Kind kind, boolean positionsOnly, String expected) {
        byte[] bytes = DatagramCodec.encode(new Datagram(kind, NOW, observations(positionsOnly)));
        assertThat(HexFormat.of().formatHex(bytes)).isEqualTo(expected);
        assertThat(DatagramCodec.decode(bytes).datagram().kind()).isEqualTo(kind);
        assertThat(DatagramCodec.decode(bytes).datagram().sentAt()).isEqualTo(NOW);
        assertThat(DatagramCodec.decode(bytes).datagram().observations().values().stream()
                        .map(GossipWireFormatTest::fields))
                .containsExactlyElementsOf(decoded(kind, positionsOnly));
    }

    /** The fields of the decoded observations, as {@link #fields} returns them. */
    private static List<List<Object>> decoded(Kind kind, boolean positionsOnly) {
        if (!positionsOnly) {
            return List.of(
                    List.of(1, 120L, 75L, 40L, 30L, 9000L, 20_000L, -1L),
                    List.of(2, 5000L, -1L, -1L, -1L, 20L, -1L, 340L));
        }
        return kind == Kind.POSITION_REPORT
                ? List.of(List.of(1, 60L, 75L, 60L, 60L, -1L, -1L, -1L), List.of(2, 60L, -1L, -1L, 60L, -1L, -1L, -1L))
                : List.of(
                        List.of(1, 75L, 75L, 75L, 75L, -1L, -1L, -1L), List.of(2, 310L, -1L, -1L, 310L, -1L, -1L, -1L));
    }

    /** The fields of an observation, with times as ages in milliseconds; -1 if unknown. */
    private static List<Object> fields(ServerObservation observation) {
        return List.of(
                observation.role().ordinal(),
                ageMs(observation.roleAt()),
                ageMs(observation.position()),
                ageMs(observation.positionAt()),
                ageMs(observation.aliveAt()),
                ageMs(observation.unresponsiveAt()),
                ageMs(observation.slowStartAt()),
                ageMs(observation.drainingAt()));
    }

    private static long ageMs(long time) {
        return time == NEVER ? -1 : Math.floorDiv(NOW - time, MS);
    }

    @Test
    void theEncodingOfADatagramWithAShiftedSendingTimeIsUnchanged() {
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, observations(false)));
        assertThat(HexFormat.of().formatHex(DatagramCodec.shiftSentAt(bytes, -777 * MS)))
                .isEqualTo(
                        "b1010114019b76daa4f7ab00348f01000c00004b00040003038407d0ffffc71e02d50201f4ffffffffffffff0002ffff0022f95342a5");
    }

    /** Runs 20 gateways for 20 seconds, with lost and late datagrams, role changes, and a gateway that shuts down. */
    @Test
    void aSimulatedExchangeSendsTheSameBytesAsRecorded() {
        Exchange exchange = new Exchange(20);
        for (int step = 0; step < 1000; step++) {
            exchange.step(step);
        }
        assertThat(exchange.sent).isEqualTo(7526);
        assertThat(Long.toHexString(exchange.checksum.getValue())).isEqualTo("b82dd758");
    }

    /** Gateways on a network that loses a tenth of all datagrams, with a random generator of its own. */
    private static final class Exchange {
        private record Delivery(int from, int to, byte[] bytes) {}

        private final List<GossipProtocol> gateways = new ArrayList<>();
        private final List<Map<ServerId, ServerObservation>> known = new ArrayList<>();
        private final List<ServerId> servers = new ArrayList<>();
        private final CRC32C checksum = new CRC32C();
        private final SplittableRandom random = new SplittableRandom(43);
        private List<Delivery> inFlight = new ArrayList<>();
        private int sent;

        private Exchange(int size) {
            for (int i = 0; i < 30; i++) {
                servers.add(new ServerId("server-" + i));
            }
            for (int i = 0; i < size; i++) {
                Map<ServerId, ServerObservation> own = new HashMap<>();
                known.add(own);
                GossipProtocol protocol = new GossipProtocol(
                        i,
                        size,
                        900,
                        500 * MS,
                        new SplittableRandom(i),
                        id -> own.getOrDefault(id, ServerObservation.NONE));
                servers.forEach(protocol::addServer);
                protocol.start(NOW);
                gateways.add(protocol);
            }
        }

        private void step(int step) {
            long now = NOW + step * 20 * MS;
            List<Delivery> toDeliver = inFlight;
            inFlight = new ArrayList<>();
            for (Delivery delivery : toDeliver) {
                if (random.nextInt(10) != 0) {
                    deliver(now, delivery);
                }
            }
            for (int i = 0; i < gateways.size(); i++) {
                observe(now, i);
                checksum.update(gateways.get(i).hasPending(now) ? 1 : 0);
                send(i, gateways.get(i).due(now));
            }
            disturb(step, now);
        }

        private void deliver(long now, Delivery delivery) {
            GossipProtocol to = gateways.get(delivery.to());
            GossipProtocol.ReceivedGossip received = to.onDatagram(now, delivery.from(), delivery.bytes());
            Map<ServerId, ServerObservation> own = known.get(delivery.to());
            received.observations().forEach((id, observation) -> {
                own.merge(id, observation, ServerObservation::join);
                checksum.update(fields(observation).hashCode());
                if (random.nextInt(50) == 0) {
                    to.onRoleVerified(now, id, random.nextBoolean());
                }
            });
            if (received.logLine() != null) {
                checksum.update(received.logLine().hashCode());
            }
            send(delivery.to(), received.replies());
        }

        /** With some probability, the gateway observes a random server. */
        private void observe(long now, int gateway) {
            if (random.nextInt(5) != 0) {
                return;
            }
            ServerId id = servers.get(random.nextInt(servers.size()));
            Role role = random.nextInt(10) == 0 ? Role.PRIMARY : Role.REPLICA;
            boolean unresponsive = random.nextInt(10) == 0;
            ServerObservation observation = new ServerObservation(
                    role,
                    now,
                    now - random.nextInt(100) * MS,
                    now,
                    unresponsive ? NEVER : now,
                    unresponsive ? now : NEVER,
                    random.nextInt(20) == 0 ? now : NEVER,
                    random.nextInt(20) == 0 ? now : NEVER);
            known.get(gateway).merge(id, observation, ServerObservation::join);
            gateways.get(gateway).onRequest();
            gateways.get(gateway).onObservationChanged(now, id);
            gateways.get(gateway).onPositionObserved(now, id);
        }

        /** Injects late, early and malformed datagrams, a shutdown, a removed server, and forgotten positions. */
        private void disturb(int step, long now) {
            if (step % 97 == 0) {
                byte[] late =
                        DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, now - 3000 * MS, observations(false)));
                inFlight.add(new Delivery(1, 2, late));
                byte[] ahead =
                        DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, now + 100 * MS, observations(false)));
                inFlight.add(new Delivery(3, 2, ahead));
                inFlight.add(new Delivery(4, 2, new byte[random.nextInt(20)]));
            }
            if (step == 400) {
                send(5, gateways.get(5).leave(now));
            }
            if (step == 450) {
                gateways.forEach(protocol -> protocol.removeServer(servers.get(0)));
            }
            if (step == 500) {
                gateways.get(6).forgetPositions();
                send(
                        6,
                        List.of(new OutboundPacket(
                                8, DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, now, Map.of())))));
            }
        }

        private void send(int from, List<OutboundPacket> packets) {
            for (OutboundPacket packet : packets) {
                sent++;
                checksum.update(from);
                checksum.update(packet.peer());
                checksum.update(packet.bytes());
                inFlight.add(new Delivery(from, packet.peer(), packet.bytes()));
            }
        }
    }
}
