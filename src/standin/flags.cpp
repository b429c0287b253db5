#include "standin/flags.h"

DEFINE_string(listen, "", "fabric, faultproxy, store: address to listen on, ip:port");
DEFINE_string(control, "", "fabric, faultproxy: TCP address for commands, ip:port; empty: none");
DEFINE_string(journal, "", "caller, upstream: file to append JSON lines to");
DEFINE_uint64(seed, 1, "fabric, faultproxy, caller: seed of all random decisions");

DEFINE_string(balancers, "", "fabric: data addresses of the balancers, ip:port,...");
DEFINE_string(services, "", "fabric: addresses of the services, a.b.c.d,...");
DEFINE_double(delay_ms, 0, "fabric: one-way delay in milliseconds");

DEFINE_string(forward, "", "faultproxy: target, then the targets of duplicated datagrams, ip:port,...");

DEFINE_string(host, "", "upstream: name of the host in the journal");
DEFINE_string(address, "", "upstream: address to listen on; caller: source address of its packets");
DEFINE_uint32(request_port, 0, "upstream, caller: port of requests");
DEFINE_uint32(feed_port, 0, "upstream, caller: port of feeds; 0: none");
DEFINE_int32(slots, 1, "upstream: requests executed at a time");
DEFINE_int32(feed_interval_ms, 100, "upstream: time between two lines of a feed");
DEFINE_double(cold_start_factor, 1, "upstream: work takes so many times longer at first");
DEFINE_int32(cold_start_ms, 0, "upstream: time until work takes its normal time");
DEFINE_bool(fail_fast, false, "upstream: close every request at once");
DEFINE_bool(closed_port, false, "upstream: do not open the request port");

DEFINE_string(name, "caller", "caller: prefix of the identities of requests and feeds");
DEFINE_string(fabric, "", "caller: UDP address of the fabric, ip:port");
DEFINE_string(service, "", "caller: address of the service, a.b.c.d");
DEFINE_int32(duration_ms, 10000, "caller: time during which requests arrive");
DEFINE_double(rate, 0, "caller: requests per second");
DEFINE_double(surge_rate, 0, "caller: requests per second during the surge");
DEFINE_int32(surge_start_ms, 0, "caller: time from the start to the surge");
DEFINE_int32(surge_duration_ms, 0, "caller: length of the surge");
DEFINE_double(work_ms, 20, "caller: mean work time of a request");
DEFINE_bool(fixed_work, false, "caller: all work times are the mean instead of exponentially distributed");
DEFINE_double(straggler_share, 0, "caller: share of the requests that take much longer");
DEFINE_double(straggler_factor, 50, "caller: work time of a straggler, in mean work times");
DEFINE_double(upload_share, 0, "caller: share of the requests with an upload");
DEFINE_uint64(upload_bytes, 0, "caller: size of an upload");
DEFINE_uint64(answer_bytes, 200, "caller: size of an answer");
DEFINE_int32(timeout_ms, 10000, "caller: a request has timed out after this time and its work time");
DEFINE_int32(feeds, 0, "caller: number of feeds to hold");
DEFINE_double(feed_rate, 200, "caller: feeds opened per second");
DEFINE_uint32(first_port, 0, "caller: first local port; 0: chosen by the stack");
DEFINE_uint32(port_count, 0, "caller: number of local ports that are used in turn");

DEFINE_uint64(allowed_lost, 0, "journal-check: requests that may be lost, as those of a host that died");
DEFINE_uint64(allowed_broken_feeds, 0, "journal-check: feeds that may break, as those of a host that died");
