#pragma once

#include "loop.h"
#include "packet.h"
#include "record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace review {

struct HostSettings
{
    std::string id;
    std::string service;
    std::string zone;
    /** Where the host gets packets and health probes. */
    Address address;
    /** Where the host sends its packets. */
    Address outbound;
    /** Where the host sends its status reports. */
    Address control;
    unsigned slots = 3;
    Milliseconds workTime {20};
    Milliseconds reportInterval {1200};
    /** Time from opening its sockets to its first status report. */
    Milliseconds firstReportAfter {0};
};

/** A host beside an agent, PROTOCOL.md, sections Flows, Hosts and Service discovery. */
class Host
{
public:
    Host(Loop &loop, const HostSettings &settings, Record &record);
    ~Host();

    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /** The host says nothing more and answers nothing; its sockets stay open, so that packets to it vanish. */
    void fallSilent();

    /** Called with the opening packet of each flow that this host takes. */
    std::function<void(const Packet &first)> tookFlow;
    /** Called when this host begins to work on a request. */
    std::function<void(const Packet &packet, const std::string &request)> ran;

private:
    struct Flow
    {
        std::uint32_t callerSequence = 0;
        std::uint32_t ownSequence = 0;
        /** Sequence number of the next byte to the requester; `answer` begins there until it is acknowledged. */
        std::uint32_t nextToSend = 0;
        std::uint32_t received = 0;
        bool isOpen = false;
        /** Empty once it is acknowledged. */
        std::string answer;
        TimePoint sentAt;
        unsigned sent = 0;
    };

    using Key = std::pair<Address, Address>;

    void handle(const std::string &bytes);
    void firstPacket(const Packet &packet);
    void otherPacket(const Packet &packet, const std::string &bytes);
    void run(const Key &key, const Packet &packet);
    void sendAnswer(const Key &key, Flow &flow);
    void repeatLost();
    void report();
    void sendTo(const Key &key, Packet packet);

    Loop &m_loop;
    HostSettings m_settings;
    Record &m_record;
    int m_socket = -1;
    int m_listener = -1;
    bool m_isSilent = false;
    std::uint64_t m_sequence = 0;
    std::int64_t m_born = 0;
    std::map<Key, Flow> m_flows;
    std::set<Key> m_ended;
    std::mt19937 m_random;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace review
