package ploverdale.model;

/**
 * What the contract between the operator and its databases guarantees. Times are {@link Ticks}.
 *
 * @param startCapacity the part of its capacity that a server has right after its start
 * @param slowStartDuration until it has its full capacity
 * @param overloadMultiple of the mean traffic, which a server bears in a window
 * @param overloadWindow the window in which requests at a recovering server are counted
 * @param removalBinds whether a server that the list no longer names is out of service even without a drain before it
 * @param askListWithin how soon a failed list call is to be repeated
 */
public record ServerGuarantees(
        double startCapacity,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow,
        boolean removalBinds,
        long askListWithin) {}
