#include "trace/outcomecheck.h"

#include <algorithm>

namespace samphireswitch::trace {

namespace {

using std::chrono::milliseconds;

/** A parked packet is refused at its deadline; the rest is for a timer that is late because the host is busy. */
constexpr milliseconds s_parkedSlack {1000};

/** Difference of the clocks of two hosts up to which the order of their events is taken as unknown. */
constexpr milliseconds s_clockDifference {10};

std::string toText(const flow::FlowKey &key)
{
    return toString(key.source) + " to " + toString(key.destination);
}

template<typename Place>
std::string toText(const Place &place)
{
    return place.file + ':' + std::to_string(place.line);
}

} // namespace

std::string_view violationName(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::ActionsDiffer:
        return "ActionsDiffer";
    case ViolationKind::OpenedTwice:
        return "OpenedTwice";
    case ViolationKind::OpenedAfterRefusal:
        return "OpenedAfterRefusal";
    case ViolationKind::AcceptedWhileDraining:
        return "AcceptedWhileDraining";
    case ViolationKind::AcceptedForeign:
        return "AcceptedForeign";
    case ViolationKind::ParkedForever:
        return "ParkedForever";
    case ViolationKind::EstablishedReset:
        return "EstablishedReset";
    }
    return "Unknown";
}

void OutcomeCheck::startTrace(const std::string &file, const TraceHeader &header)
{
    m_agent = {};
    m_systemStart = header.systemStart;
    m_place = {file, 1, header.systemStart};
}

void OutcomeCheck::add(const TraceEntry &entry, std::size_t line)
{
    m_place.line = line;
    m_place.time = m_systemStart + entry.sinceStart;
    applyEvent(entry.event);
    const auto *packet = std::get_if<admission::PacketArrived>(&entry.event);
    for (const admission::Action &action : entry.actions) {
        apply(action, packet);
    }
    checkParked();
}

void OutcomeCheck::endTrace()
{
    checkParked();
    m_agent = {};
}

void OutcomeCheck::finish()
{
    for (const auto &[key, place] : m_resets) {
        for (const Interval &interval : m_intervals[key]) {
            // Within one trace the order of the lines is certain.
            const bool sameTrace = interval.begin.file == place.file;
            const auto tolerance = sameTrace ? milliseconds(0) : s_clockDifference;
            const bool afterBegin =
                sameTrace ? place.line > interval.begin.line : place.time > interval.begin.time + tolerance;
            const bool beforeEnd = !interval.end
                || (sameTrace ? place.line < interval.end->line : place.time + tolerance < interval.end->time);
            if (afterBegin && beforeEnd) {
                report(ViolationKind::EstablishedReset,
                       place,
                       toText(key) + " was established at " + toText(interval.begin));
            }
        }
    }
}

const std::vector<Violation> &OutcomeCheck::violations() const
{
    return m_violations;
}

void OutcomeCheck::applyEvent(const admission::Event &event)
{
    if (const auto *changed = std::get_if<admission::ServiceTermsChanged>(&event)) {
        // Older terms have no effect.
        if (!m_agent.terms || changed->terms.generation >= m_agent.terms->generation) {
            m_agent.terms = changed->terms;
        }
    } else if (std::holds_alternative<admission::DrainOrdered>(event)) {
        m_agent.drainOrdered = true;
    } else if (const auto *ended = std::get_if<admission::FlowEnded>(&event)) {
        close(ended->key);
    }
}

void OutcomeCheck::apply(const admission::Action &action, const admission::PacketArrived *packet)
{
    const std::uint32_t sequence = packet == nullptr ? 0 : packet->sequence;
    if (const auto *accepted = std::get_if<admission::AcceptFlow>(&action)) {
        accept(accepted->key, sequence);
    } else if (const auto *unparked = std::get_if<admission::AcceptParked>(&action)) {
        const auto parked = takeParked(unparked->key);
        accept(unparked->key, parked ? parked->sequence : 0);
    } else if (const auto *park = std::get_if<admission::ParkPacket>(&action)) {
        m_agent.parked[park->key] = {sequence, m_place, m_agent.terms ? m_agent.terms->deadline : milliseconds(0)};
    } else if (const auto *handedOver = std::get_if<admission::HandOverParked>(&action)) {
        takeParked(handedOver->key);
    } else if (const auto *dropped = std::get_if<admission::DropParked>(&action)) {
        takeParked(dropped->key);
    } else if (const auto *refusedParked = std::get_if<admission::RefuseParked>(&action)) {
        if (const auto parked = takeParked(refusedParked->key)) {
            m_agent.refused[{refusedParked->key, parked->sequence}] = m_place;
        }
    } else if (const auto *refused = std::get_if<admission::RefusePacket>(&action)) {
        m_agent.refused[{refused->key, sequence}] = m_place;
    } else if (const auto *opened = std::get_if<admission::OpenUpstream>(&action)) {
        open(opened->key);
    } else if (const auto *ceded = std::get_if<admission::CedeFlow>(&action)) {
        close(ceded->key);
    } else if (const auto *reset = std::get_if<admission::ResetUnowned>(&action)) {
        m_resets.emplace_back(reset->key, m_place);
    }
}

void OutcomeCheck::accept(const flow::FlowKey &key, std::uint32_t sequence)
{
    const auto &terms = m_agent.terms;
    if (m_agent.drainOrdered || (terms && terms->mode != admission::HostMode::Active)) {
        report(ViolationKind::AcceptedWhileDraining, m_place, toText(key));
    }
    const Endpoint &destination = key.destination;
    const bool own = terms && destination.address == terms->address && destination.port != 0
        && (destination.port == terms->requestPort || destination.port == terms->feedPort);
    if (!own) {
        report(ViolationKind::AcceptedForeign, m_place, toText(key));
    }
    m_agent.accepted[key] = sequence;
}

void OutcomeCheck::open(const flow::FlowKey &key)
{
    const Flow flow {key, m_agent.accepted[key]};
    const auto [first, isNew] = m_opened.emplace(flow, m_place);
    if (!isNew) {
        report(ViolationKind::OpenedTwice, m_place, toText(key) + " was opened at " + toText(first->second));
    }
    if (const auto refused = m_agent.refused.find(flow); refused != m_agent.refused.end()) {
        report(ViolationKind::OpenedAfterRefusal, m_place, toText(key) + " was refused at " + toText(refused->second));
    }
    std::vector<Interval> &intervals = m_intervals[key];
    m_agent.established[key] = intervals.size();
    intervals.push_back({m_place, std::nullopt});
}

void OutcomeCheck::close(const flow::FlowKey &key)
{
    const auto found = m_agent.established.find(key);
    if (found == m_agent.established.end()) {
        return;
    }
    m_intervals[key][found->second].end = m_place;
    m_agent.established.erase(found);
}

void OutcomeCheck::checkParked()
{
    std::erase_if(m_agent.parked, [this](const auto &entry) {
        const Parked &parked = entry.second;
        if (m_place.time <= parked.place.time + parked.deadline + s_parkedSlack) {
            return false;
        }
        report(ViolationKind::ParkedForever, parked.place, toText(entry.first));
        return true;
    });
}

std::optional<OutcomeCheck::Parked> OutcomeCheck::takeParked(const flow::FlowKey &key)
{
    const auto found = m_agent.parked.find(key);
    if (found == m_agent.parked.end()) {
        return std::nullopt;
    }
    const Parked parked = found->second;
    m_agent.parked.erase(found);
    return parked;
}

void OutcomeCheck::report(ViolationKind kind, const Place &place, std::string detail)
{
    m_violations.push_back({kind, place.file, place.line, std::move(detail)});
}

} // namespace samphireswitch::trace
