#pragma once

#include "base/resultcode.h"
#include "http/server.h"
#include "passthrough/upstreamreport.h"

#include <optional>

/** The calls that the platform and its upstreams make to processes of the system. PROTOCOL.md, sections Ingress and
 * Service discovery. */
namespace samphireswitch::platform {

/** The platform asks whether a balancer takes packets. */
bool isReadinessCall(const http::Request &request);

/** The answer to a readiness call. */
http::Response readinessAnswer(bool ready);

/**
 * Decodes a report or the departure of an upstream. Fails with ResultCode::MessageMalformed for a body that another
 * writer sent: fields missing or of another type, or a state that is not known. Nothing for another call.
 */
Result<std::optional<passthrough::UpstreamMessage>> decodeUpstreamCall(const http::Request &request);

/** The acknowledgement of a report. */
http::Response acknowledgement();

/** The answer to a call that names no upstream. */
http::Response rejection(const Error &error);

} // namespace samphireswitch::platform
