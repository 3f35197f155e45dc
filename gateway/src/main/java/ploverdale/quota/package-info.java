/**
 * Distributed quota: rate and concurrency limits that all gateways share and enforce by means of leases. This package
 * decides how the capacity of each limit is allocated to gateways, which units this gateway may use and until when,
 * and tracks how many of them are spent or in use. The units that all gateways may use at the same time never exceed
 * the capacity, no matter which messages are lost, which processes fail, and how far clocks drift within the
 * configured bound; docs/budgets.md gives the argument.
 *
 * <p>Start reading with {@link ploverdale.quota.QuotaProtocol}; {@link ploverdale.quota.QuotaNode} connects it to
 * membership and to the packet layer. This package never selects a server, rejects a request, does I/O, or reads a
 * clock other than those passed to it. It never grants a unit merely because another gateway is believed to be dead.
 * All of its code runs on the thread of the event loop.
 */
package ploverdale.quota;
