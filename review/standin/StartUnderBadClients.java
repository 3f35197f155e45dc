package standin;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An open entry of the project, not one of the three cases. Bad clients ask while a gateway starts: an op type that does
 * not exist, then a message with a negative length. Once the gateway has answered an empty query, usual clients send
 * writes, and the planned restart begins with SIGTERM. Each of those writes is owed its answer.
 */
final class StartUnderBadClients {
    private static final int BAD_CLIENTS = 5;
    private static final int WRITES = 10;

    private StartUnderBadClients() {}

    public static void main(String[] args) throws Exception {
        Standin.main(args[0], StartUnderBadClients::holds);
    }

    private static boolean holds(Standin.Run run) throws Exception {
        Standin.Agent agent = run.open(new Standin.Agent());
        for (int n = 1; n <= 3; n++) {
            Standin.Server server = run.server("s-" + n, 0, n == 1);
            server.handler = (connection, query) -> {
                Thread.sleep(600);
                connection.row(new byte[] {'v'}, "INSERT 0 1", System.currentTimeMillis());
            };
            agent.put(server, "SERVING", server.primary ? "source" : "copy", 0);
        }
        int port = Standin.freePort();
        Standin.Gateway gateway = run.gateway("n0", configuration(port, agent), port, agent.address());
        AtomicBoolean stop = new AtomicBoolean();
        for (int n = 0; run.trouble && n < BAD_CLIENTS; n++) {
            Standin.daemon("bad client", () -> disturb(gateway, stop));
        }
        if (!gateway.awaitReady(30_000)) {
            throw new Standin.CannotRun("the gateway was not ready within 30 s");
        }
        run.record.tell("the gateway has answered an empty query");
        stop.set(true);
        Thread.sleep(1500);
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int n = 0; n < WRITES; n++) {
            String id = "w" + n;
            clients.add(Standin.daemon("client", () -> write(run, gateway, id, lost)));
        }
        Thread.sleep(300);
        run.record.tell("SIGTERM");
        gateway.signal("TERM");
        for (Thread client : clients) {
            client.join();
        }
        gateway.process.waitFor(6, TimeUnit.SECONDS);
        run.record.tell("exit status " + (gateway.process.isAlive() ? "none" : gateway.process.exitValue()) + ", "
                + lost.get() + " of " + WRITES + " writes lost");
        return lost.get() == 0;
    }

    private static void write(Standin.Run run, Standin.Gateway gateway, String id, AtomicInteger lost) {
        try (Standin.Client client = new Standin.Client(gateway.address)) {
            client.send(Standin.query(Standin.write("bid-" + id, "9f03", id, "bid-submit", 3000, 0)));
            Standin.Answer answer = client.nextAnswer(5000);
            run.record.line("op " + id + " answered: " + answer);
            if (answer.kind.equals("closed")) {
                lost.incrementAndGet();
            }
        } catch (IOException failure) {
            run.record.line("op " + id + " no answer: " + failure);
            lost.incrementAndGet();
        }
    }

    private static void disturb(Standin.Gateway gateway, AtomicBoolean stop) throws Exception {
        while (!stop.get()) {
            try (Socket socket = new Socket()) {
                socket.connect(gateway.address, 500);
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.writeBytes(Standin.startup());
                bytes.writeBytes(Standin.query(Standin.read("k", "b" + System.nanoTime(), "no-such-type", 1000, 0)));
                DataOutputStream message = new DataOutputStream(bytes);
                message.writeByte('Q');
                message.writeInt(-5);
                socket.getOutputStream().write(bytes.toByteArray());
                socket.setSoTimeout(3000);
                while (socket.getInputStream().read() >= 0) {
                    // reads what it is sent
                }
            } catch (IOException turnedAway) {
                Thread.sleep(2);
            }
        }
    }

    private static String configuration(int port, Standin.Agent agent) {
        return "{\"name\":\"n0\",\"listen\":\"" + Standin.HOST + ":" + port + "\",\"discovery\":\"" + agent.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + agent.whole() + ",\"settings\":{\"balancers\":1,\"selfIndex\":0,"
                + "\"domainType\":\"replicas\",\"discovery\":\"automatic\",\"zones\":[\"a\"],\"kinds\":[\"m\"],"
                + "\"accounts\":[{\"name\":\"acme\",\"fraction\":1,\"quotaPerS\":400}],\"overShareWorth\":0.05,"
                + "\"profiles\":[{\"name\":\"bid-view\",\"aimMs\":500,\"deadlineMs\":2000,\"effect\":\"repeatable\","
                + "\"worth\":2,\"lateShare\":0},{\"name\":\"bid-submit\",\"aimMs\":500,\"deadlineMs\":3000,"
                + "\"effect\":\"once\",\"worth\":6,\"lateShare\":0.5}],\"specifics\":{\"classRead\":[\"lag_bound\",\"mutate\"],"
                + "\"oldestDataMs\":[500,0],\"positions\":true,\"positionZeroMs\":0,\"checks\":\"silent\",\"waitMs\":0,"
                + "\"tokens\":\"kept\",\"roleListed\":\"static\"},\"report\":{\"via\":\"piggyback\",\"fields\":[\"x0\",\"x1\"]},"
                + "\"callers\":{\"marksRetry\":true},"
                + "\"policyLimits\":{\"sendCap\":6,\"cancel\":true,\"probes\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":1000,\"connectTimeoutMs\":250,\"idleCloseMs\":30000,\"mayDuplicate\":false,"
                + "\"maxStreams\":1,\"peerMessages\":false},"
                + "\"contract\":{\"answerSlackMs\":20,\"startCapacity\":0.21,\"coldMs\":16000,\"overloadFactor\":2.5,"
                + "\"overloadForMs\":1000,\"stopSendingWithinMs\":500}}}";
    }
}
