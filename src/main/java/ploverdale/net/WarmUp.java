package ploverdale.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import ploverdale.Logic;
import ploverdale.model.Action;
import ploverdale.model.GroupId;
import ploverdale.model.Happening;
import ploverdale.model.Happening.Ending;
import ploverdale.model.Listing;
import ploverdale.model.OpId;
import ploverdale.model.OpTypeId;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.model.Telling;
import ploverdale.model.Telling.Role;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;
import ploverdale.net.LogicLoop.Clock;
import ploverdale.terms.Terms;

/**
 * Owns the practice before service: runs what a busy gateway runs, at its own address and with made-up ops, so that
 * classes are loaded and methods compiled before the first client waits for them. Must never reach a database server,
 * touch the module that serves, or go on once service has begun.
 */
final class WarmUp {
    private static final ServerId OWN = new ServerId(""); // stands for this gateway while it warms up
    private static final int ROUNDS = 250; // a method is compiled after 200 calls
    private static final int ROUNDS_A_TURN = 10; // of ops, between two on sockets

    private final Vertx vertx;
    private final ServerSide servers;
    private final Terms terms;
    private final Logic practice = new Logic(); // thrown away with what it learned
    private final PgCodec.ClientStream asked = new PgCodec.ClientStream();
    private final PgCodec.ServerStream answered = new PgCodec.ServerStream();
    private long now = Clock.now();
    private int ops;

    WarmUp(Vertx vertx, ServerSide servers, Terms terms) {
        this.vertx = vertx;
        this.servers = servers;
        this.terms = terms;
    }

    /** Practises at this address, where the gateway listens, and then does what comes next. */
    void run(java.net.InetSocketAddress own, Runnable then) {
        servers.reachedAt(OWN, own);
        asked.feed(PgCodec.hello());
        asked.next();
        tell(terms.started());
        List<Listing> made = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            made.add(new Listing(new ServerId(name), new GroupId(0), new ZoneId(0), Listing.Stage.IN, name.equals("a"), 0));
        }
        tell(new Happening.ListTold(true, false, made));
        round(0, then);
    }

    /** A probe of this gateway by itself runs all that a connection and a query run; ops run the rest. */
    private void round(int round, Runnable then) {
        if (round == ROUNDS) {
            servers.closeIdle(OWN);
            then.run();
            return;
        }
        if (round % ROUNDS_A_TURN == 0) {
            for (int i = 0; i < ROUNDS_A_TURN; i++) {
                op();
            }
        }
        servers.probe(OWN, o -> vertx.runOnContext(x -> round(round + 1, then)));
    }

    private void op() {
        now += 40;
        int type = ops % terms.opTypes().size();
        String tenant = terms.tenants().isEmpty() ? "" : ",t=" + terms.tenants().get(0);
        byte[] text = ("SELECT val FROM state WHERE uid = 'k" + ops % 9 + "' /* id=" + ops++ + ",c="
                + terms.opTypes().get(type) + tenant + ",d=900,cluster=0 */").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        asked.feed(Buffer.buffer().appendByte((byte) 'Q').appendInt(text.length + 5).appendBytes(text).appendByte((byte) 0));
        if (asked.next() instanceof PgCodec.OpAsk ask) {
            PgCodec.ask(ask, 300);
            answered.feed(PgCodec.acked(new PgCodec.Row(new PgCodec.Column("val", 0, (short) 0, 17, (short) -1, -1,
                    (short) 1), text, "SELECT 1")));
            while (answered.next() != null) {
                continue;
            }
            tell(new Happening.OpArrived(new OpId(ask.id()), new OpTypeId(type), new TenantId(0), new GroupId(0),
                    new SessionId(ask.key()), now + 9000, false, 0, 0));
        }
        tell(new Happening.WakeUp(0));
    }

    /** Has the practice module hear this, and what follows from what it then does. */
    private void tell(Happening h) {
        for (Action a : practice.on(now, h)) {
            Role role = a instanceof Action.Send s && !s.server().text().equals("a") ? Role.REPLICA : Role.PRIMARY;
            Telling told = new Telling(role, now, 0.3);
            if (a instanceof Action.Probe p) {
                tell(new Happening.ProbeEnded(p.server(), Ending.ACKED,
                        new Telling(p.server().text().equals("a") ? Role.PRIMARY : Role.REPLICA, now, 0.3)));
            } else if (a instanceof Action.Send s) {
                tell(new Happening.SendEnded(s.op(), 0, s.server(), Ending.ACKED, 300, true, told, told));
            }
        }
    }
}
