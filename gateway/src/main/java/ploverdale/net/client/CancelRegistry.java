package ploverdale.net.client;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import ploverdale.net.postgres.ClientMessage;

/**
 * Assigns each session its backend key and finds the session that a cancel message names. A message with another secret, or
 * the key of another gateway, cancels nothing. Used on the event loop only.
 */
final class CancelRegistry {
    /** The two numbers of a BackendKeyData message, which a cancel message repeats. */
    record BackendKey(int processId, int secret) {}

    // Must not be guessed by counting; connections have no password, so no stronger source is needed.
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

    /** Forgets the session of this key; does nothing if it is forgotten already. */
    void unregister(BackendKey key) {
        sessions.remove(key);
    }

    /** Cancels the requests of the session that the message names, if there is one. */
    void cancel(ClientMessage.CancelRequest request) {
        ClientSession session = sessions.get(new BackendKey(request.processId(), request.secretKey()));
        if (session != null) {
            session.cancelRequests();
        }
    }
}
