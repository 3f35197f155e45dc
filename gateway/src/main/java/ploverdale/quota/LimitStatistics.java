package ploverdale.quota;

/**
 * Statistics of one shared limit at one gateway at a point in time, in units.
 *
 * @param name name of the limit
 * @param held units that the gateway may use, including those borrowed and in use
 * @param borrowed units borrowed from other gateways
 * @param lent units lent to other gateways, or possibly still in use there
 * @param demand units wanted recently
 * @param inUse units acquired and not yet released; 0 for a rate limit
 * @param rejected how often no unit was free since the start
 */
public record LimitStatistics(String name, int held, int borrowed, int lent, int demand, int inUse, long rejected) {}
