package ploverdale.model;

/**
 * What the settings guarantee about the database servers and discovery. Times are {@link Ticks}.
 *
 * @param startCapacity the fraction of its full capacity that a server has right after its start
 * @param slowStartDuration how long after its start a server reaches its full capacity
 * @param overloadMultiple how many times its mean traffic a server withstands within an overload window
 * @param overloadWindow the length of the window in which the requests at a recovering server are counted
 * @param removalBinds whether a server that is missing from the endpoint list is out of service even if it was not
 *     drained before
 * @param maxListRetryDelay how soon a failed call for the endpoint list has to be repeated
 */
public record ServerGuarantees(
        double startCapacity,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow,
        boolean removalBinds,
        long maxListRetryDelay) {}
