package ploverdale.routing;

import java.util.List;
import ploverdale.model.Capabilities;
import ploverdale.model.Event;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.Tenant;

/** Builder of the settings that a router under test starts with. Times are ticks. */
final class TestRouterSettings {
    static final int BOUNDED_READ = 0;
    static final int UNBOUNDED_READ = 1;
    static final int WRITE = 2;
    static final int WRITE_WITH_IDEMPOTENCY_KEY = 3;
    static final int SESSION_READ = 4;
    static final int FRESH_READ = 5;
    static final int LONG_READ = 6;

    static final long IDEMPOTENCY_WINDOW = 20_000;

    private static final long LATENCY_OBJECTIVE = 5000;
    private static final long LONG_LATENCY_OBJECTIVE = 20_000;

    private ReplicaGuarantees.StalenessCheck stalenessCheck = ReplicaGuarantees.StalenessCheck.NONE;
    private boolean sessionTokens;
    private boolean removalBinding = true;
    private int gateways = 1;
    private boolean gossip;

    /** Sets how replicas check the staleness of reads; by default they do not. */
    TestRouterSettings stalenessCheck(ReplicaGuarantees.StalenessCheck check) {
        stalenessCheck = check;
        return this;
    }

    /** Makes clients carry a token of their session's last write. */
    TestRouterSettings sessionTokens() {
        sessionTokens = true;
        return this;
    }

    /** Lets servers that are removed from the endpoint list without draining still be used. */
    TestRouterSettings removalNotBinding() {
        removalBinding = false;
        return this;
    }

    /** Sets the number of gateways; the one under test is number 0. */
    TestRouterSettings gateways(int count) {
        gateways = count;
        return this;
    }

    /** Allows gossip between the gateways. */
    TestRouterSettings gossip() {
        gossip = true;
        return this;
    }

    /** Returns the event that starts a router with these settings; its seed depends on the number of gateways. */
    Event.Started started() {
        List<RequestClass> classes = List.of(
                requestClass(Idempotence.IDEMPOTENT, Consistency.BOUNDED, 0),
                requestClass(Idempotence.IDEMPOTENT, Consistency.UNBOUNDED, 0),
                requestClass(Idempotence.NOT_IDEMPOTENT, Consistency.WRITE, 0.5),
                requestClass(Idempotence.WITH_IDEMPOTENCY_KEY, Consistency.WRITE, 0.7),
                requestClass(Idempotence.IDEMPOTENT, Consistency.SESSION, 0),
                requestClass(Idempotence.IDEMPOTENT, Consistency.FRESH, 0),
                requestClass(LONG_LATENCY_OBJECTIVE, Idempotence.IDEMPOTENT, Consistency.UNBOUNDED, 0));
        return new Event.Started(
                6 + gateways,
                gateways,
                classes,
                List.of(new Tenant(100)),
                0.05,
                new ServerGuarantees(0.2, 160_000, 2.5, 10_000, removalBinding, 0),
                new Capabilities(6, true, true, true, 10_000, gossip),
                new ReplicaGuarantees(stalenessCheck, 500, sessionTokens),
                false,
                0);
    }

    private static RequestClass requestClass(Idempotence idempotence, Consistency consistency, double lateValue) {
        return requestClass(LATENCY_OBJECTIVE, idempotence, consistency, lateValue);
    }

    private static RequestClass requestClass(
            long latencyObjective, Idempotence idempotence, Consistency consistency, double lateValue) {
        return new RequestClass(
                latencyObjective,
                0,
                30_000,
                idempotence,
                RequestClass.Scope.GROUP,
                IDEMPOTENCY_WINDOW,
                consistency == Consistency.WRITE ? 6 : 2,
                lateValue,
                false,
                consistency,
                5000);
    }
}
