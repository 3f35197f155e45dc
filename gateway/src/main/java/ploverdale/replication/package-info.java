/**
 * Owns the state that a fleet of gateways must not lose when one of them ends: how far each session's reads must reach, and
 * which writes may have been executed. {@link ploverdale.replication.Replicas} is the entry point. Each key has a few
 * replicas among the gateways; operations on it are decided by a quorum, and anti-entropy repairs replicas that missed a
 * write. What no quorum can answer counts as unknown, never as absent.
 *
 * <p>By file: {@code ReplicaPlacement} (which gateways replicate a key), {@code VersionedEntry} (the replicated values and
 * how they merge), {@code EntryStore} (this gateway's entries), {@code LocalReplica} (answers as a replica), {@code
 * QuorumCoordinator} (operations of this gateway), {@code AntiEntropy} (repair), {@code CompletenessBound} (what absence
 * proves), {@code ReplicationMessage} (messages; the encoder and decoder are beside it).
 *
 * <p>It never chooses a server, sends a request to one, does input or output, or reads a clock that it was not handed. All
 * of it runs on the event loop; nothing is thread-safe.
 */
package ploverdale.replication;
