package ploverdale.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/**
 * What one instance hears from others and tells them. A new instance asks a few others for all that they know; from then
 * on only changes are told, each to a few by chance, and whoever hears one as news tells it on. Nobody tells everyone.
 * What goes out is paid from a budget that ops and time fill. Times in tenths of a millisecond.
 */
public final class GossipProtocol {
    /** Bytes for one other instance. */
    public record OutboundPacket(int peer, byte[] bytes) {}

    /** What came of a datagram: words on servers known here, what to send, and a line for the log or null. */
    public record ReceivedGossip(Map<ServerId, ServerObservation> words, List<OutboundPacket> letters, String line) {}

    private static final long MS = 10;
    /** From one telling of positions to the age that they have at the next, at most; see the rota. */
    public static final long PLACES_EVERY = PeerSelector.EVERY + PeerSelector.WITHIN;

    private static final long PROVES_FOR = 30_000 * MS; // who leads or is silent; older words prove nothing
    private static final long ON_ITS_WAY_MOST = 2000 * MS; // later, something is wrong with the way or a clock
    private static final long CLOCKS_APART = 500 * MS; // at most; a word from the future is one of now
    private static final int FAN = 3; // told at a time; with this nearly all hear of it within a few steps
    private static final int ROUNDS = 2; // of telling a change, since datagrams get lost
    private static final long ROUND_EVERY = 150 * MS;
    private static final int ASKED = 2; // at a time
    private static final long[] ASKS_AFTER = {0, 40 * MS, 300 * MS, 1000 * MS}; // while servers are unheard of
    private static final int ENOUGH_ENTRIES = 60; // of a picture, in several datagrams
    private static final double BYTES_AN_OP = 0.2 * Datagram.MOST;
    private static final double BYTES_A_SECOND = 40; // so that an instance without ops tells a little, too
    private static final double BYTES_SAVED = 4 * Datagram.MOST;
    private static final double PICTURES_A_SECOND = 4; // answers to those that start
    private static final double PICTURES_SAVED = 8;
    private static final long GONE_FOR = 10_000 * MS; // one that left; by then another is there in its place
    private static final double WRONG = 0.5; // what is left of the trust in one whose word was wrong
    private static final double RIGHT = 0.1;
    private static final double TRUST_BACK_IN = 60_000 * MS;
    private static final double NO_TRUST = 0.2; // below it a word on who leads is left out
    private static final long DOUBT = 1000 * MS; // older, such a word counts, for no trust at all
    private static final long LINE_EVERY = 10_000 * MS;

    /** One server that this instance was told of. */
    private static final class KnownServer {
        private final ServerId id;
        private ServerObservation picture = ServerObservation.NONE; // what the others have been told or have told
        private int roleFrom = -1;
        private int newsFrom = -1; // whose news it is; that one need not be told
        private int roundsLeft;
        private long tellAt;

        private KnownServer(ServerId id) {
            this.id = id;
        }
    }

    private final int me;
    private final RandomGenerator random;
    private final Function<ServerId, ServerObservation> own;
    private final double[] trust;
    private final long[] trustAt;
    private final long[] leftAt;
    private final Map<ServerId, KnownServer> servers = new LinkedHashMap<>();
    private final Map<Integer, KnownServer> byNumber = new HashMap<>();
    private final Map<Integer, KnownServer> byShort = new HashMap<>();
    private final PeerSelector rota; // null where each instance hears enough by itself
    private final double opsHere;
    private final double bound;
    private final Set<KnownServer> news = new LinkedHashSet<>();
    private final Map<Object, Integer> refusals = new HashMap<>();
    private long lineAt = LoadReport.UNKNOWN_TIME;
    private int asks;
    private long startedAt = Long.MAX_VALUE;
    private double purse = Datagram.MOST;
    private long purseAt;
    private double pictures = PICTURES_SAVED;

    /**
     * @param me the number of this instance among the instances
     * @param requestsPerSecond agreed for all instances together; with the bound it tells whether an instance's own answers
     *     bring it positions often enough
     * @param bound the tightest staleness bound, in tenths of a millisecond
     * @param own what this instance knows of a server, hearsay that it believed included
     */
    public GossipProtocol(
            int me,
            int instances,
            double requestsPerSecond,
            long bound,
            RandomGenerator random,
            Function<ServerId, ServerObservation> own) {
        rota = new PeerSelector(me, instances);
        opsHere = requestsPerSecond / instances;
        this.bound = bound / (1000.0 * MS);
        this.me = me;
        this.random = random;
        this.own = own;
        trust = new double[instances];
        trustAt = new long[instances];
        leftAt = new long[instances];
        Arrays.fill(trust, 1);
        Arrays.fill(leftAt, LoadReport.UNKNOWN_TIME);
    }

    /** This instance starts and knows nothing yet. */
    public void starts(long now) {
        startedAt = now;
        purseAt = now;
    }

    /** The list names this server; two whose numbers are the same are not spoken of. */
    public void listed(ServerId id) {
        if (!servers.containsKey(id)) {
            KnownServer k = new KnownServer(id);
            servers.put(id, k);
            byNumber.merge(Datagram.number(id), k, (a, b) -> new KnownServer(null));
            byShort.merge(Datagram.shortNumber(id), k, (a, b) -> new KnownServer(null));
        }
    }

    /** The list does not name it any more. */
    public void forget(ServerId id) {
        KnownServer k = servers.remove(id);
        if (k != null) {
            news.remove(k);
            byNumber.remove(Datagram.number(id), k);
            byShort.remove(Datagram.shortNumber(id), k);
            rota.forget(id);
        }
    }

    /** Positions told so far cannot be dated any more. */
    public void forgetPositions() {
        servers.values().forEach(k -> k.picture = k.picture.withoutPosition());
        rota.forgetAll();
    }

    /** An op has come; it pays for words. */
    public void request() {
        purse = Math.min(BYTES_SAVED, purse + BYTES_AN_OP);
    }

    // -- Hearing

    /** A datagram has come from another instance. */
    public ReceivedGossip hears(long now, int from, byte[] bytes) {
        Datagram.Read read = from < 0 || from >= trust.length || from == me ? null : Datagram.read(bytes);
        if (read == null || read.refusal() != null) {
            return refused(now, from, read == null ? "STRANGER" : read.refusal());
        }
        Datagram d = read.datagram();
        long ahead = d.sentAt() - now;
        if (ahead > CLOCKS_APART || -ahead > ON_ITS_WAY_MOST) {
            return refused(now, from, ahead > 0 ? "OF_THE_FUTURE" : "LATE");
        }
        if (d.kind() == Kind.LEAVES) {
            leftAt[from] = now;
        } else if (now - leftAt[from] > ON_ITS_WAY_MOST) {
            leftAt[from] = LoadReport.UNKNOWN_TIME; // another instance is there
        }
        Map<ServerId, ServerObservation> words = new LinkedHashMap<>();
        boolean places = d.kind().ordinal() >= Kind.PLACES_UP.ordinal();
        d.words().forEach((number, w) -> {
            KnownServer k = (places ? byShort : byNumber).get(number);
            if (k != null && k.id != null) {
                words.put(k.id, take(now, from, k, w, Math.max(0, ahead), !places));
                if (places) {
                    rota.place(k.id, w, Math.min(now, d.sentAt()));
                }
            }
        });
        return new ReceivedGossip(
                words,
                switch (d.kind()) {
                    case ASKS -> answer(now, from);
                    case PLACES_ON -> rota.tellOn(from, d);
                    default -> List.of();
                },
                null);
    }

    private ServerObservation take(
            long now, int from, KnownServer k, ServerObservation told, long ahead, boolean toSpread) {
        ServerObservation w = (ahead > 0 ? told.notAfter(now) : told).since(now - PROVES_FOR);
        double t = trust(now, from);
        w = t < NO_TRUST ? w.withoutRole() : w.withRoleOlder((long) ((1 - t) * DOUBT));
        if (w.role() != Role.UNKNOWN && w.roleAt() > k.picture.roleAt()) {
            k.roleFrom = from;
        }
        if (toSpread) {
            spread(now, k, w, from);
        } else {
            k.picture = k.picture.join(w); // the rota brings it to all
        }
        return w;
    }

    private void spread(long now, KnownServer k, ServerObservation w, int from) {
        boolean isNews = w.isNewsAfter(k.picture);
        if (isNews) {
            k.roundsLeft = ROUNDS;
            k.newsFrom = from;
            k.tellAt = now;
            news.add(k);
        }
        k.picture = k.picture.join(w);
    }

    private ReceivedGossip refused(long now, int from, Object why) {
        refusals.merge(why, 1, Integer::sum);
        if (now - lineAt < LINE_EVERY) {
            return new ReceivedGossip(Map.of(), List.of(), null);
        }
        lineAt = now;
        String all = refusals.entrySet().stream()
                .map(e -> e.getValue() + " " + e.getKey())
                .sorted()
                .collect(Collectors.joining(", "));
        refusals.clear();
        return new ReceivedGossip(
                Map.of(), List.of(), "words of instances not read: " + all + ", the last of instance " + from);
    }

    /** All that this instance knows, for one that starts; nothing where it knows nothing or was asked too often. */
    private List<OutboundPacket> answer(long now, int to) {
        earn(now);
        if (pictures < 1) {
            return List.of();
        }
        List<OutboundPacket> letters = picture(now, Kind.TELLS, List.of(to));
        pictures -= letters.isEmpty() ? 0 : 1;
        return letters;
    }

    private List<OutboundPacket> picture(long now, Kind kind, List<Integer> to) {
        Map<Integer, ServerObservation> all = new LinkedHashMap<>();
        for (KnownServer k : servers.values()) {
            ServerObservation w = own.apply(k.id).since(now - PROVES_FOR);
            if (!w.equals(ServerObservation.NONE)
                    && all.size() < ENOUGH_ENTRIES
                    && byNumber.get(Datagram.number(k.id)) == k) {
                all.put(Datagram.number(k.id), w);
            }
        }
        List<OutboundPacket> letters = new ArrayList<>();
        Iterator<Map.Entry<Integer, ServerObservation>> i = all.entrySet().iterator();
        while (i.hasNext()) {
            Map<Integer, ServerObservation> part = new LinkedHashMap<>();
            while (i.hasNext() && part.size() < Datagram.ENTRIES_MOST) {
                Map.Entry<Integer, ServerObservation> e = i.next();
                part.put(e.getKey(), e.getValue());
            }
            byte[] bytes = new Datagram(kind, now, part).bytes();
            to.forEach(peer -> letters.add(new OutboundPacket(peer, bytes)));
        }
        return letters;
    }

    // -- Whom to believe

    private double trust(long now, int from) {
        trust[from] = 1 - (1 - trust[from]) * Math.exp(-(now - trustAt[from]) / TRUST_BACK_IN);
        trustAt[from] = now;
        return trust[from];
    }

    /** What was believed of who leads has turned out wrong or right at the server itself. */
    public void proved(long now, ServerId id, boolean right) {
        KnownServer k = servers.get(id);
        if (k != null && k.roleFrom >= 0) {
            double t = trust(now, k.roleFrom);
            trust[k.roleFrom] = right ? t + RIGHT * (1 - t) : t * WRONG;
            k.roleFrom = -1;
        }
    }

    // -- Report

    /** This instance's own knowledge of a server may have changed. */
    public void learnt(long now, ServerId id) {
        KnownServer k = servers.get(id);
        if (k != null) {
            spread(now, k, own.apply(id), -1);
        }
    }

    /** An answer to this instance told where a server stands. */
    public void placed(long now, ServerId id) {
        if (needsOthers() && servers.containsKey(id)) {
            rota.placed(now, id, own.apply(id));
        }
    }

    /** Whether own answers come so seldom that positions would be too old between them. */
    public boolean needsOthers() {
        return opsHere * bound < servers.size();
    }

    /** Whether something waits to be told or asked. */
    public boolean wantsToTell(long now) {
        return !news.isEmpty() || asks < ASKS_AFTER.length || needsOthers() && rota.collects(now);
    }

    /** What is to be sent by now. */
    public List<OutboundPacket> due(long now) {
        earn(now);
        List<OutboundPacket> letters = new ArrayList<>();
        if (!servers.isEmpty() && asks < ASKS_AFTER.length && now - startedAt >= ASKS_AFTER[asks]) {
            asks++;
            boolean unheard =
                    servers.values().stream().anyMatch(k -> own.apply(k.id).aliveAt() == LoadReport.UNKNOWN_TIME);
            if (unheard) {
                byte[] bytes = new Datagram(Kind.ASKS, now, Map.of()).bytes();
                some(now, ASKED, -1).forEach(peer -> letters.add(new OutboundPacket(peer, bytes)));
            }
        }
        if (needsOthers()) {
            letters.addAll(rota.due(now, own));
        }
        Map<Integer, ServerObservation> part = new LinkedHashMap<>();
        List<KnownServer> told = new ArrayList<>();
        for (KnownServer k : news) {
            if (now >= k.tellAt && part.size() < Datagram.ENTRIES_MOST) {
                ServerObservation w = own.apply(k.id).join(k.picture).since(now - PROVES_FOR);
                part.put(Datagram.number(k.id), w);
                told.add(k);
            }
        }
        int cost = Datagram.length(part.size());
        if (!part.isEmpty() && purse >= cost) {
            int from = told.get(0).newsFrom;
            from = told.stream().allMatch(k -> k.newsFrom == told.get(0).newsFrom) ? from : -1;
            List<Integer> to = some(now, (int) Math.min(FAN, purse / cost), from);
            byte[] bytes = new Datagram(Kind.TELLS, now, part).bytes();
            to.forEach(peer -> letters.add(new OutboundPacket(peer, bytes)));
            purse -= cost * to.size();
            for (KnownServer k : told) {
                k.tellAt = now + ROUND_EVERY;
                if (--k.roundsLeft <= 0) {
                    news.remove(k);
                }
            }
        }
        return letters;
    }

    /** This instance leaves: what it knows, for a few that stay. */
    public List<OutboundPacket> leaves(long now) {
        List<Integer> to = some(now, FAN, -1);
        List<OutboundPacket> letters = picture(now, Kind.LEAVES, to);
        if (letters.isEmpty()) {
            byte[] bytes = new Datagram(Kind.LEAVES, now, Map.of()).bytes();
            to.forEach(peer -> letters.add(new OutboundPacket(peer, bytes)));
        }
        return letters;
    }

    private void earn(long now) {
        double seconds = Math.max(0, now - purseAt) / (1000.0 * MS);
        purseAt = Math.max(purseAt, now);
        purse = Math.min(BYTES_SAVED, purse + BYTES_A_SECOND * seconds);
        pictures = Math.min(PICTURES_SAVED, pictures + PICTURES_A_SECOND * seconds);
    }

    /** So many others by chance, but for one and those that left lately. */
    private List<Integer> some(long now, int count, int not) {
        List<Integer> picked = new ArrayList<>();
        int others = trust.length - 1;
        for (int tries = 0; others > 0 && picked.size() < Math.min(count, others) && tries < 8 * count; tries++) {
            int peer = random.nextInt(others);
            peer += peer >= me ? 1 : 0;
            if (peer != not && !picked.contains(peer) && now - leftAt[peer] > GONE_FOR) {
                picked.add(peer);
            }
        }
        return picked;
    }

    /** How far an instance is believed on who leads, from 0 to 1; for the log and tests. */
    public double trustIn(long now, int peer) {
        return trust(now, peer);
    }
}
