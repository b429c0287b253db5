#pragma once

#include <gflags/gflags.h>

// All flags of samphireswitch-standin. Their descriptions and defaults are in flags.cpp.

DECLARE_string(listen);
DECLARE_string(control);
DECLARE_string(journal);
DECLARE_uint64(seed);

DECLARE_string(balancers);
DECLARE_string(services);
DECLARE_double(delay_ms);

DECLARE_string(forward);

DECLARE_string(host);
DECLARE_string(address);
DECLARE_uint32(request_port);
DECLARE_uint32(feed_port);
DECLARE_int32(slots);
DECLARE_int32(feed_interval_ms);
DECLARE_double(cold_start_factor);
DECLARE_int32(cold_start_ms);
DECLARE_bool(fail_fast);
DECLARE_bool(closed_port);

DECLARE_string(name);
DECLARE_string(fabric);
DECLARE_string(service);
DECLARE_int32(duration_ms);
DECLARE_double(rate);
DECLARE_double(surge_rate);
DECLARE_int32(surge_start_ms);
DECLARE_int32(surge_duration_ms);
DECLARE_double(work_ms);
DECLARE_bool(fixed_work);
DECLARE_double(straggler_share);
DECLARE_double(straggler_factor);
DECLARE_double(upload_share);
DECLARE_uint64(upload_bytes);
DECLARE_uint64(answer_bytes);
DECLARE_int32(timeout_ms);
DECLARE_int32(feeds);
DECLARE_double(feed_rate);
DECLARE_uint32(first_port);
DECLARE_uint32(port_count);

DECLARE_uint64(allowed_lost);
DECLARE_uint64(allowed_broken_feeds);
