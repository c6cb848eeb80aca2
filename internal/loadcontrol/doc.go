// Package loadcontrol decides how requests are placed, wait and are refused when the upstreams of a
// service have much to do. It has no clock, sockets or goroutines: each call is given the time and
// what the host has counted.
//
// A host sees only what callers send: not how busy an upstream is, nor what other hosts send it. With
// many hosts before an upstream, each of them sees so little of it that a limit per host and upstream
// learns nothing. So the hosts of an availability zone divide its upstreams among themselves, and each
// knows what its own upstreams have to do.
//
//	load pattern                     rule                                        reason
//	hosts outnumber upstreams        Position.Share: parts of an upstream that   limits of all hosts add up to
//	                                 add up to one                               what the upstream has
//	upstreams crash at once          Position.Share: an upstream is opened by    one host learns from one flow
//	                                 one or two hosts                            what all would have to
//	all upstreams turn slow          Limit: open requests by Little's law,       a queue at an upstream is work
//	                                 down to one per slot                        that can't be moved any more
//	burst within a zone              Window: spill to upstreams of other hosts,  their load is not known, so
//	                                 as long as these answer in time             their latency decides
//	callers return after an outage   Demand: they wait for their own repeat as   the excess is short
//	                                 long as the slots can catch up
//	more is asked than slots can do  Demand: refused at once                     who waits is not served
//	both kinds of requests at once   Class: urgent requests get a larger limit,  an order outweighs a feed;
//	                                 late ones a smaller one                     others can still be in time
//	open flows ask again             their expected requests count as open       these can't be refused
//
// Ways that were weighed, each against what a host can see:
//
//   - AIMD, Vegas and gradient limits per upstream need samples: at 79 hosts and 293 upstreams a host
//     sees one request in 13 s for each. Window is AIMD for all foreign upstreams of a service together.
//   - CoDel sheds by the time in the queue; the queue is at the upstream, where no host sees it. Demand
//     takes its place: a backlog that the slots can't work off is refused.
//   - Credits (Breakwater) and probes of load (Prequal) need answers from upstreams, which go to callers.
//   - Priorities per business and user (DAGOR) need an admission level that all hosts share. Class has
//     the two levels that routes declare.
package loadcontrol
