// Package loadcontrol decides how requests are placed, wait and are refused when the upstreams of a
// service are under heavy load. It has no clock, sockets or goroutines: each call is given the time and
// what the host has counted.
//
// A host sees only the packets of callers that pass through it. It sees neither how busy an upstream
// is, nor what other hosts send to it. If many hosts share an upstream, each gets too few samples to
// adapt a limit of its own. Therefore the hosts of an availability zone divide its upstreams among
// themselves, and each host knows the load of the upstreams that it is responsible for.
//
// Where requests wait at the host (package schedule), Limit, Class and the waiting part of Demand decide
// nothing: an upstream gets what it works on, and the order of the queue says who goes first.
//
//	load pattern                     rule                                        reason
//	hosts outnumber upstreams        Position.Share: parts of an upstream that   limits of all hosts add up to
//	                                 add up to one                               what the upstream has
//	upstreams crash at once          Position.Share: one or two hosts open       one failed flow tells the host
//	                                 flows to an upstream                        that would open the next one
//	all upstreams turn slow          Limit: open requests by Little's law,       a queue at an upstream is work
//	                                 down to one per slot                        that can't be moved any more
//	burst within a zone              Window: spill to upstreams of other hosts,  their load is not known, so
//	                                 as long as these answer in time             their latency decides
//	callers return after an outage   Demand: they wait for their own repeat as   the excess is short
//	                                 long as the slots can catch up
//	demand exceeds the slots         Demand: refused at once                     waiting callers aren't served
//	urgent and other requests mix    Class: urgent requests get a larger limit,  urgent work goes first; requests
//	                                 late ones a smaller one                     that aren't late can be in time
//	upstreams return empty           ColdOwners, ColdPacer: one host of the      a burst makes them slow for all;
//	                                 zone opens few flows to each                a bound per host would not add up
//	one host is short, others idle   Asker, Lender: slots are lent on request    a slot is promised to one host
//	                                                                             only, and nothing is sent while
//	                                                                             nobody waits
//	requests on open flows           count as open before they are sent          a host can't refuse them
//
// Ways that were weighed, each against what a host can see:
//
//   - AIMD, Vegas and gradient limits per upstream need more samples than a host has, or take heavy-tailed
//     work for load; package capacity judges upstreams against their peers instead. Window is AIMD for all
//     foreign upstreams of a service together.
//   - CoDel sheds by the time in the queue; the queue is at the upstream, where no host sees it. Demand
//     takes its place: a backlog that the slots can't work off is refused.
//   - Credits of upstreams (Breakwater) and probes of load (Prequal) need answers from upstreams, which go to callers.
//   - Priorities per business and user (DAGOR) need an admission level that all hosts share. Class has
//     the two levels that routes declare.
package loadcontrol
