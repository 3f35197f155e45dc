package ploverdale.net;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import ploverdale.gossip.Datagram;
import ploverdale.log.Log;
import ploverdale.membership.PacketQueue;
import ploverdale.model.Event.Outcome;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.client.RequestHistoryLookup;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.replication.IdempotencyRecord;
import ploverdale.replication.Replicas;
import ploverdale.replication.Replicas.Done;
import ploverdale.replication.Replicas.End;
import ploverdale.replication.ReplicationSettings;
import ploverdale.replication.WriteOutcome;
import ploverdale.settings.GatewaySettings;

/**
 * Owns the ways between ops and what the fleet keeps of them: has a session's past asked for before the module hears of its
 * read, a write claimed before the module hears of it, and what came of it copied before its client hears. Must never decide
 * what is known, fresh enough or proven, and must answer no op twice.
 */
final class ReplicationCoordinator implements RequestHistoryLookup {
    private static final long LOOK_MS = 1000;
    private static final long MS = 10;
    private static final long JOIN_AGAIN_MS = 40; // a submit that waits for an earlier one's fate

    /** Has something asked or told by what is kept, and its letters sent. */
    interface Way {
        void keeps(ObjLongConsumer<PacketQueue> what);
    }

    /** An op in hand of which something is kept. */
    private static final class InHand {
        private final RequestArrived asked;
        private final boolean waits;
        private final long arrivedAt; // on the servers' wall clock
        private IdempotencyRecord claim;
        private int out;
        private boolean mayHaveRun;
        private int copies; // not there yet
        private boolean notCopied;

        private InHand(RequestArrived asked, boolean waits, long arrivedAt) {
            this.arrivedAt = arrivedAt;
            this.asked = asked;
            this.waits = waits;
        }
    }

    private final Vertx vertx;
    private final Log log;
    private final RouterEventLoop loop;
    private final ClientConnections clients;
    private final GatewaySettings settings;
    private final ReplicationSettings keeping;
    private final Replicas replicas;
    private final Way way;
    private final ServerClock time;
    private final Map<Long, Consumer<Done>> tickets = new HashMap<>();
    private final Map<RequestId, InHand> inHand = new HashMap<>();
    private final Map<GroupId, Integer> acker =
            new HashMap<>(); // by group, the number of the server of the last acked write

    ReplicationCoordinator(
            Vertx vertx,
            Log log,
            RouterEventLoop loop,
            ClientConnections clients,
            GatewaySettings settings,
            ReplicationSettings keeping,
            Replicas replicas,
            Way way,
            ServerClock time) {
        this.vertx = vertx;
        this.log = log;
        this.loop = loop;
        this.clients = clients;
        this.settings = settings;
        this.keeping = keeping;
        this.replicas = replicas;
        this.way = way;
        this.time = time;
        // Clients that left while their op was held: nothing is sent for it any more.
        vertx.setPeriodic(
                LOOK_MS,
                x -> List.copyOf(inHand.keySet()).stream()
                        .filter(request -> clients.requestInFlight(request) == null)
                        .forEach(this::over));
    }

    /** What this gateway vouched for was dated wrongly; from now on it vouches for what comes from here on. */
    void clockOffsetChanged() {
        replicas.startsAnew();
    }

    /** How the module takes session reads: by what comes with each. */
    ReplicaGuarantees copies(ReplicaGuarantees told) {
        return new ReplicaGuarantees(told.checks(), told.checkWait(), told.tokensCarried() || keeping.sessions());
    }

    /** Hands on what has ended. */
    void ended() {
        for (Done d : replicas.done()) {
            Consumer<Done> then = tickets.remove(d.ticket());
            if (then != null) {
                then.accept(d);
            }
        }
    }

    private interface Question {
        long ask(long now, PacketQueue to);
    }

    private void asks(Question q, Consumer<Done> then) {
        way.keeps((to, now) -> {
            long ticket = q.ask(now, to);
            if (ticket != 0) {
                tickets.put(ticket, then);
            }
        });
        ended();
    }

    @Override
    public void onRequestArrived(RequestArrived a, String key) {
        RequestClass type = settings.started().requestClasses().get(a.type().index());
        boolean waits =
                keeping.waits().contains(settings.requestClasses().get(a.type().index()));
        if (keeping.sessions() && type.needs() == Consistency.SESSION && key != null) {
            long arrived = time.now();
            asks((now, to) -> replicas.asks(now, Replicas.key(true, key), to), d -> {
                int leads = acker.getOrDefault(a.group(), d.server());
                if (d.end() == End.KNOWN && d.server() >= 0 && d.server() != leads) {
                    log.often(
                            "a session over a takeover",
                            "its last write was acked by another server than the group's last");
                }
                arrived(a, time.tokenAge(time.now(), d.end() == End.KNOWN ? d.position() : time.toWall(arrived)));
            });
        } else if (type.needs() == Consistency.WRITE) {
            if (!time.isKnown()) {
                arrivesLater(a, key);
                return;
            }
            InHand i = new InHand(a, waits, time.wallNow());
            inHand.put(a.request(), i);
            if (keeping.submits() && type.repeats() != Idempotence.IDEMPOTENT) {
                claims(i);
            } else {
                loop.tell(a);
            }
        } else {
            loop.tell(a);
        }
    }

    /** While the offset of the servers' clock is unknown, what becomes of a write cannot be dated, and so it is not sent. */
    private void arrivesLater(RequestArrived a, String key) {
        if (time.now() + JOIN_AGAIN_MS * MS < a.timeoutAt()) {
            vertx.setTimer(JOIN_AGAIN_MS, x -> {
                if (clients.requestInFlight(a.request()) != null) {
                    onRequestArrived(a, key);
                }
            });
        } else if (a.resubmitted()) {
            clients.fail(a.request()); // an earlier submit may have run
        } else {
            clients.reject(a.request(), 0);
        }
    }

    private void arrived(RequestArrived a, long tokenAge) {
        if (clients.requestInFlight(a.request()) != null) {
            loop.tell(new RequestArrived(
                    a.request(),
                    a.type(),
                    a.tenant(),
                    a.group(),
                    a.session(),
                    a.timeoutAt(),
                    a.resubmitted(),
                    a.expectedWork(),
                    tokenAge));
        }
    }

    /** A write goes on once its claim is granted; one that was submitted before joins what became of that. */
    private void claims(InHand i) {
        RequestId request = i.asked.request();
        asks(
                (now, to) -> replicas.claims(
                        now, Replicas.key(false, request.text()), !i.asked.resubmitted(), i.arrivedAt, to),
                d -> {
                    if (d.end() == End.GRANTED) {
                        i.claim = d.claim();
                        if (clients.requestInFlight(request) != null) {
                            loop.tell(i.asked);
                        } else {
                            inHand.remove(request);
                            neverRan(i); // its client has left, and nothing was sent
                        }
                    } else if (clients.requestInFlight(request) == null) {
                        inHand.remove(request);
                    } else if (d.end() == End.RAN) {
                        inHand.remove(request);
                        if (d.answer().length > 0) {
                            clients.replay(request, d.answer());
                        } else {
                            clients.fail(request);
                        }
                    } else if (time.now() + (JOIN_AGAIN_MS + keeping.askWithin() / MS) * MS < i.asked.timeoutAt()) {
                        vertx.setTimer(JOIN_AGAIN_MS, x -> claims(i));
                    } else {
                        inHand.remove(request);
                        clients.fail(request);
                        log.often("a write submitted before", "errored, since it may have run");
                    }
                });
    }

    /** A send of the op goes out. */
    void sent(RequestId request) {
        InHand i = inHand.get(request);
        if (i != null) {
            i.out++;
        }
    }

    /** One has ended; a row, if it brought one, is still to be handed to {@link #acked}. */
    void sendEnded(RequestId request, Outcome outcome, boolean row) {
        InHand i = inHand.get(request);
        if (i != null) {
            i.out--;
            i.mayHaveRun |= !outcome.provesNotRun();
            if (!row && clients.requestInFlight(request) == null) {
                over(request);
            }
        }
    }

    /** The op has its answer, or its client has left: proven not to have run, where that is so. */
    void over(RequestId request) {
        InHand i = inHand.get(request);
        if (i == null || i.out > 0) {
            return; // the end of what is out may still prove it
        }
        inHand.remove(request);
        if (!i.mayHaveRun) {
            neverRan(i);
        }
    }

    private void neverRan(InHand i) {
        if (i.claim != null) {
            asks(
                    (now, to) -> replicas.became(
                            now,
                            Replicas.key(false, i.asked.request().text()),
                            i.claim,
                            WriteOutcome.NEVER_RAN,
                            new byte[0],
                            0,
                            false,
                            to),
                    d -> {});
        }
    }

    /** A server has acked an op: what is to be known of that is copied, and its client answered, at once or then. */
    void acked(RequestId request, ResultRow row, LoadReport note, ServerId server) {
        InHand i = inHand.remove(request);
        if (i == null) {
            clients.succeed(request, row);
            return;
        }
        acker.put(i.asked.group(), Datagram.number(server) & 0xFFFF);
        if (!time.isKnown() && keeping.sessions() && i.asked.session() != null) {
            clients.fail(request); // its position cannot be dated, so that nothing may be promised to the session
            log.often("an acked write while the clock is in doubt", "errored");
            return;
        }
        if (!i.waits) {
            clients.succeed(request, row);
        }
        long left = Math.max(1, Math.min(keeping.waitWithin(), i.asked.timeoutAt() - time.now()));
        String session = i.asked.session() == null ? null : i.asked.session().text();
        i.copies = (keeping.sessions() && session != null ? 1 : 0) + (i.claim != null ? 1 : 0);
        if (i.waits && i.copies == 0) {
            clients.succeed(request, row);
        }
        if (keeping.sessions() && session != null) {
            long at = note != null && note.position() != LoadReport.UNKNOWN_TIME
                    ? time.toWall(note.position())
                    : time.wallNow();
            asks(
                    (now, to) -> replicas.wrote(
                            now, Replicas.key(true, session), at, Datagram.number(server), left, i.waits, to),
                    d -> copied(i, row, d));
        }
        if (i.claim != null) {
            asks(
                    (now, to) -> replicas.became(
                            now,
                            Replicas.key(false, request.text()),
                            i.claim,
                            WriteOutcome.SUCCEEDED,
                            MessageWriter.resultRow(row).getBytes(),
                            left,
                            i.waits,
                            to),
                    d -> copied(i, row, d));
        }
    }

    private void copied(InHand i, ResultRow row, Done d) {
        i.notCopied |= d.end() != End.COPIED;
        if (--i.copies > 0) {
            return;
        }
        if (i.notCopied) {
            clients.fail(i.asked.request()); // nothing may be promised
            log.often("an acked write without copies", "errored after " + keeping.waitWithin() / MS + " ms");
        } else {
            clients.succeed(i.asked.request(), row);
        }
    }
}
