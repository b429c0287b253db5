#include "judge.h"

namespace samphireswitch::review {

namespace {

// `contact_ms` and `max_flow_s` of the small deployments.
constexpr std::chrono::milliseconds s_contact {4000};
constexpr std::chrono::seconds s_longestFlow {60};

long long milliseconds(Clock::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

Judge::Judge(Record &record)
    : m_record(record)
{
}

void Judge::disturbed(const std::string &machine)
{
    m_disturbedAt = Clock::now();
    m_record.write("disturbance of " + machine);
}

void Judge::flowOpened(const flow::FlowKey &key, const std::string &host)
{
    m_flows.insert_or_assign(key, OpenFlow {host, Clock::now()});
    m_record.write("flow " + flow::toString(key) + " is open at " + host);
}

void Judge::flowEnded(const flow::FlowKey &key)
{
    m_flows.erase(key);
}

void Judge::resetArrived(const flow::FlowKey &key, const std::string &sender)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        m_record.write("reset of " + flow::toString(key) + " by " + sender + ", which no host holds");
        return;
    }
    const TimePoint now = Clock::now();
    const bool isInTouch = !m_disturbedAt || now - *m_disturbedAt >= s_contact;
    const bool isYoung = now - found->second.openedAt < s_longestFlow;
    const std::string calm = m_disturbedAt ? std::to_string(milliseconds(now - *m_disturbedAt)) + " ms" : "the start";
    m_record.write("reset of " + flow::toString(key) + " by " + sender + ", open at " + found->second.host
                   + ", which lives; no disturbance for " + calm
                   + (isInTouch && isYoung ? ": FLOW is broken" : ": excused"));
    m_broken += isInTouch && isYoung ? 1 : 0;
    m_flows.erase(found);
}

bool Judge::isBroken() const
{
    return m_broken > 0;
}

} // namespace samphireswitch::review
