/**
 * Rate and concurrency limits that all gateways share, as leases. Owns the allocation of each limit's capacity to gateways,
 * which units this gateway may use and until when, and what of them is spent and in use. The units that all gateways may use
 * never exceed the capacity, whatever happens to messages, processes and clocks within stated bounds; docs/budgets.md tells
 * why.
 *
 * <p>Start with {@link ploverdale.quota.QuotaProtocol}; {@link ploverdale.quota.QuotaNode} connects it with membership and
 * the packets. Never chooses a server or rejects a request by itself, does I/O, reads a clock that it was not handed, or
 * grants a unit because another gateway is believed to be dead. All of it runs on the thread of the event loop.
 */
package ploverdale.quota;
