package ploverdale.net.client;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import ploverdale.net.postgres.ClientMessage;

/**
 * Assigns a backend key to each session and finds the session that a cancel message refers to. A cancel message with a
 * wrong secret or with the key of another gateway has no effect. Used on the event loop only.
 */
final class CancelRegistry {
    /** The two numbers of a BackendKeyData message, which a client repeats in a cancel message. */
    record BackendKey(int processId, int secret) {}

    // Secrets must not be predictable by counting. Connections have no password, so no stronger generator is needed.
    private final SplittableRandom secrets = new SplittableRandom();
    private final Map<BackendKey, ClientSession> sessions = new HashMap<>();
    private int lastProcessId;

    /** Assigns a key to a new session. */
    BackendKey register(ClientSession session) {
        lastProcessId++;
        BackendKey key = new BackendKey(lastProcessId, secrets.nextInt());
        sessions.put(key, session);
        return key;
    }

    /** Removes the session with this key; does nothing if it has already been removed. */
    void unregister(BackendKey key) {
        sessions.remove(key);
    }

    /** Cancels the requests of the session that the message refers to, if there is one. */
    void cancel(ClientMessage.CancelRequest request) {
        ClientSession session = sessions.get(new BackendKey(request.processId(), request.secretKey()));
        if (session != null) {
            session.cancelRequests();
        }
    }
}
