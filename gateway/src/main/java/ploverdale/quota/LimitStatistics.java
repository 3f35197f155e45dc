package ploverdale.quota;

/**
 * What one gateway has of one shared limit at a point in time, in units.
 *
 * @param held that it may use, those in use and borrowed included
 * @param borrowed of other gateways
 * @param lent to other gateways, or possibly still in use there
 * @param demand that were lately wanted
 * @param inUse acquired and not released; 0 for a rate
 * @param rejected how often no unit was free, since the start
 */
public record LimitStatistics(String name, int held, int borrowed, int lent, int demand, int inUse, long rejected) {}
