/**
 * Replicates the state that a fleet of gateways must not lose when one of them stops: the log position that each
 * session's reads must reach, and the writes that may have been executed. {@link ploverdale.replication.Replicas} is
 * the entry point. Each key has a few replicas among the gateways; a quorum of them decides operations on it, and
 * anti-entropy repairs replicas that missed a write. What no quorum can answer counts as unknown, never as absent.
 *
 * <p>The main classes: {@code ReplicaPlacement} (which gateways replicate a key), {@code VersionedEntry} (the
 * replicated values and how they merge), {@code EntryStore} (this gateway's entries), {@code LocalReplica} (answers
 * as a replica), {@code QuorumCoordinator} (operations that this gateway starts), {@code AntiEntropy} (repair),
 * {@code CompletenessBound} (up to when entries may be missing, so that their absence proves nothing), {@code
 * ReplicationMessage} (the messages, with an encoder and a decoder beside it).
 *
 * <p>The package does not choose servers, send requests to servers or do input or output, and it reads only the clock
 * that it is given. Everything runs on the event loop; nothing is thread-safe.
 */
package ploverdale.replication;
