#include "membership/silentagents.h"

namespace samphireswitch::membership {

SilentAgents::SilentAgents(const SilentAgentSettings &settings)
    : m_settings(settings)
{
}

void SilentAgents::update(const std::vector<protocol::MemberRecord> &silent)
{
    std::map<std::uint64_t, Entry> agents;
    for (const protocol::MemberRecord &record : silent) {
        if (agents.size() == m_settings.capacity) {
            break;
        }
        const auto known = m_agents.find(record.id);
        const bool isSameProcess = known != m_agents.end() && known->second.incarnation == record.incarnation;
        Entry &entry = agents[record.id];
        if (isSameProcess) {
            entry = known->second;
        } else {
            entry.incarnation = record.incarnation;
            entry.endpoint = record.control;
        }
    }
    m_agents = std::move(agents);
    std::erase_if(m_lost, [this](std::uint64_t agent) {
        const auto found = m_agents.find(agent);
        return found == m_agents.end() || found->second.unanswered < m_settings.attempts;
    });
}

std::vector<SilentAgents::Attempt> SilentAgents::takeDue(TimePoint now)
{
    std::vector<Attempt> due;
    for (auto &[agent, entry] : m_agents) {
        if (entry.attempt != 0 || now < entry.nextAttempt) {
            continue;
        }
        entry.attempt = ++m_lastAttempt;
        const bool wasAccepted = entry.outcome == ConnectionOutcome::Accepted;
        entry.nextAttempt = now + (wasAccepted ? m_settings.acceptedInterval : m_settings.otherInterval);
        due.push_back({agent, entry.endpoint, entry.attempt});
    }
    return due;
}

void SilentAgents::attemptEnded(const Attempt &attempt, ConnectionOutcome outcome)
{
    const auto found = m_agents.find(attempt.agent);
    if (found == m_agents.end() || found->second.attempt != attempt.number) {
        return;
    }
    Entry &entry = found->second;
    entry.attempt = 0;
    if (outcome == ConnectionOutcome::NotMade) {
        return;
    }
    entry.outcome = outcome;
    entry.unanswered = outcome == ConnectionOutcome::Unanswered ? entry.unanswered + 1 : 0;
    if (entry.unanswered >= m_settings.attempts) {
        m_lost.insert(attempt.agent);
    } else {
        m_lost.erase(attempt.agent);
    }
}

const std::set<std::uint64_t> &SilentAgents::lost() const
{
    return m_lost;
}

std::set<std::uint64_t> SilentAgents::standingStill() const
{
    std::set<std::uint64_t> agents;
    for (const auto &[agent, entry] : m_agents) {
        if (entry.outcome == ConnectionOutcome::Accepted) {
            agents.insert(agent);
        }
    }
    return agents;
}

} // namespace samphireswitch::membership
