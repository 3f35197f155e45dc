package ploverdale.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/**
 * How positions get round where each instance alone hears too few. One instance at a time collects: whose turn it is
 * follows from the clock, so nobody is elected, and one that is dead costs its turn and no more. Each tells the collector
 * the positions that its own answers brought; the collector sends all of them, a few bytes a server, to some, and each of
 * these to its part of the others. Times in tenths of a millisecond.
 */
final class PeerSelector {
    private static final long MS = 10;
    private static final long TURN = 2000 * MS;
    static final long EVERY = 250 * MS; // between two tellings; half of the tightest bound in use
    private static final long UP_EVERY = 20 * MS;
    static final long UP_WITHIN = 60 * MS; // what the collector is told was learnt so long ago at most
    static final long WITHIN = EVERY + UP_WITHIN; // the same for what it tells
    private static final long KNOWN_ANYWAY = 150 * MS; // told by the collector so lately: others tell it, too
    private static final int DIRECTLY = 9; // others at most, whom a collector tells itself
    private static final int PENDING_MOST = 55;

    private record Place(long position, Role role, long at) {}

    private final int me;
    private final int instances;
    private final Map<ServerId, Place> places = new LinkedHashMap<>();
    private final Set<ServerId> pending = new LinkedHashSet<>();
    private long upAt = LoadReport.UNKNOWN_TIME;
    private long toldAt = LoadReport.UNKNOWN_TIME;

    PeerSelector(int me, int instances) {
        this.me = me;
        this.instances = instances;
    }

    int collector(long now) {
        return (int) ((now / TURN * 0x9E3779B97F4A7C15L >>> 33) % instances);
    }

    /** An answer to this instance told a server's position. */
    void placed(long now, ServerId id, ServerObservation w) {
        Place was = places.get(id);
        if (pending.size() < PENDING_MOST && (was == null || now - was.at > KNOWN_ANYWAY || collector(now) == me)) {
            pending.add(id);
        }
        if (collector(now) == me) {
            place(id, w, now);
        }
    }

    /** Another instance told a server's position. */
    void place(ServerId id, ServerObservation w, long at) {
        if (w.position() != LoadReport.UNKNOWN_TIME && w.role() != Role.UNKNOWN) {
            Place p = places.get(id);
            places.put(id, new Place(p == null ? w.position() : Math.max(p.position, w.position()), w.role(), at));
        }
    }

    void forgetAll() {
        places.clear();
        pending.clear();
    }

    void forget(ServerId id) {
        places.remove(id);
        pending.remove(id);
    }

    /** What is to be sent by now; own gives what is known of a server here. */
    List<OutboundPacket> due(long now, Function<ServerId, ServerObservation> own) {
        if (collector(now) == me) {
            pending.clear();
            return now - toldAt < EVERY ? List.of() : tellAll(now);
        }
        if (pending.isEmpty() || now - upAt < UP_EVERY) {
            return List.of();
        }
        Map<Integer, ServerObservation> words = new LinkedHashMap<>();
        for (ServerId id : pending) {
            ServerObservation w = own.apply(id);
            if (now - w.positionAt() <= UP_WITHIN && w.role() != Role.UNKNOWN) {
                words.put(Datagram.shortNumber(id), w);
            }
        }
        pending.clear();
        upAt = now;
        return words.isEmpty()
                ? List.of()
                : List.of(new OutboundPacket(collector(now), new Datagram(Kind.PLACES_UP, now, words).bytes()));
    }

    private List<OutboundPacket> tellAll(long now) {
        Map<Integer, ServerObservation> words = new LinkedHashMap<>();
        places.forEach((id, p) -> {
            if (now - p.at <= WITHIN - UP_WITHIN && words.size() < Datagram.PLACES_MOST) {
                words.put(
                        Datagram.shortNumber(id),
                        new ServerObservation(
                                p.role,
                                now,
                                p.position,
                                now,
                                now,
                                LoadReport.UNKNOWN_TIME,
                                LoadReport.UNKNOWN_TIME,
                                LoadReport.UNKNOWN_TIME));
            }
        });
        toldAt = words.isEmpty() ? toldAt : now;
        List<OutboundPacket> letters = new ArrayList<>();
        if (!words.isEmpty()) {
            boolean directly = instances - 1 <= DIRECTLY;
            byte[] bytes = new Datagram(directly ? Kind.PLACES : Kind.PLACES_ON, now, words).bytes();
            for (int place = 0; place < instances - 1; place += directly ? 1 : part()) {
                letters.add(new OutboundPacket(at(place, me, now), bytes));
            }
        }
        return letters;
    }

    /** Who has a place in the order of a telling; it turns, so that one who is dead cuts off others each time. */
    private int at(int place, int collector, long sentAt) {
        return (collector + 1 + (place + turned(sentAt)) % (instances - 1)) % instances;
    }

    private int turned(long sentAt) {
        return (int) (sentAt / EVERY % (instances - 1));
    }

    /** How many hear of it through one that the collector tells, that one included. */
    private int part() {
        return (int) Math.ceil(Math.sqrt(instances - 1));
    }

    /** Tells on what the collector told this instance for its part of the others. */
    List<OutboundPacket> tellOn(int collector, Datagram d) {
        List<OutboundPacket> letters = new ArrayList<>();
        int mine = Math.floorMod(Math.floorMod(me - collector - 1, instances) - turned(d.sentAt()), instances - 1);
        if (mine % part() == 0) { // else it was not for this instance to tell on
            byte[] bytes = new Datagram(Kind.PLACES, d.sentAt(), d.words()).bytes();
            for (int place = mine + 1; place < Math.min(mine + part(), instances - 1); place++) {
                letters.add(new OutboundPacket(at(place, collector, d.sentAt()), bytes));
            }
        }
        return letters;
    }

    /** Whether it is this instance's turn. */
    boolean collects(long now) {
        return collector(now) == me;
    }
}
