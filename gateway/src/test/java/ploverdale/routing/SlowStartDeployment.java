package ploverdale.routing;

/**
 * The servers of a simulated deployment and what they guarantee about slow start.
 *
 * @param name printed with the results
 * @param startCapacity the fraction of its full capacity that a server has right after its start
 * @param slowStartMs how long after its start a server reaches its full capacity
 * @param overloadMultiple how many times its capacity a server withstands within an overload window
 * @param overloadWindowMs the length of the overload window
 * @param cores the number of cores of a server
 * @param capacity the full capacity of a server, in requests per second
 */
record SlowStartDeployment(
        String name, double startCapacity, long slowStartMs, double overloadMultiple, long overloadWindowMs, int cores, double capacity) {}
