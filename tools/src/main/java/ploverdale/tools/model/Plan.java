package ploverdale.tools.model;

/**
 * The figures of a group. Times in tenths of a millisecond.
 *
 * @param ship from a commit to its being applied by a replica that keeps up
 * @param detect from a primary's silence to its being given up
 * @param elect from then on until a replica takes over
 * @param switchOver the time without a primary in which one that drains hands over
 * @param cores that work at a time in one server
 * @param meanWork of one op, at a warm server
 * @param coldFrom part of its capacity with which a server starts
 * @param coldFor until it has all of it
 * @param overload times the present capacity that makes a cold server fall
 * @param overloadFor for so long
 * @param tokenWindow in which a repeat of a token is dropped
 * @param catchUp how much faster than time a replica that is behind applies the log
 */
public record Plan(
        long ship,
        long detect,
        long elect,
        long switchOver,
        int cores,
        long meanWork,
        double coldFrom,
        long coldFor,
        double overload,
        long overloadFor,
        long tokenWindow,
        double catchUp) {}
