#pragma once

#include "base/endpoint.h"
#include "configuration/servicerecord.h"
#include "protocol/status.h"
#include "telemetry/eventlog.h"

#include <kj/async.h>

#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace samphireswitch {

/** A process that answers the RPC interface `Control` with what a test prepared. */
class ControlStub
{
public:
    /** What the process answers. */
    struct Content
    {
        protocol::Status status;
        std::vector<telemetry::EventRecord> events;
        /** Leaves every call without an answer. */
        bool hangs = false;
        /** Puts a record into answers that breaks a rule. */
        bool isFaulty = false;
        /** Configurations that were offered. */
        std::vector<configuration::ConfigurationDelta> offers;
    };

    explicit ControlStub(Content content);
    ~ControlStub();

    ControlStub(const ControlStub &) = delete;
    ControlStub &operator=(const ControlStub &) = delete;

    Endpoint endpoint() const;

    std::vector<configuration::ConfigurationDelta> offers() const;

    /** Replaces the status. */
    void setStatus(const protocol::Status &status);

private:
    void serve(std::promise<Endpoint> started);

    mutable std::mutex m_mutex;
    Content m_content;
    Endpoint m_endpoint;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stop;
    std::thread m_thread;
};

} // namespace samphireswitch
