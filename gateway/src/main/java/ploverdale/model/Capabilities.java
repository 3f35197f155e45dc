package ploverdale.model;

/** What a gateway may do here. */
public record Capabilities(
        int sendsPerOp, boolean callOff, boolean probes, boolean comeBackTimes, long longestComeBack,
        boolean peerMessages) {}
