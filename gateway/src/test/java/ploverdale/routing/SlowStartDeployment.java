package ploverdale.routing;

/**
 * A deployment's servers and its contract of slow start.
 *
 * @param startCapacity part of the warm capacity that a server has right after its start
 * @param coldMs how long a server takes to warm up
 * @param multiple of its capacity that a server bears within a window
 * @param windowMs length of that window
 * @param cores of a server
 * @param capacity true capacity of a warm server, in requests per second
 */
record SlowStartDeployment(
        String name, double startCapacity, long coldMs, double multiple, long windowMs, int cores, double capacity) {}
