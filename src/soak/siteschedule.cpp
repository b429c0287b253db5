#include "soak/siteschedule.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <string>

namespace samphireswitch::soak {

namespace {

using platform::DayAction;
using platform::DayEvent;
using platform::SiteDay;

constexpr unsigned s_wholeShare = 100;

/** Draws the machines of each event. */
class Schedule
{
public:
    Schedule(const SiteDay &day, std::uint64_t seed)
        : m_day(day)
        , m_random(seed)
    {
    }

    std::vector<PlannedFault> take()
    {
        for (const DayEvent &event : m_day.events) {
            append(event);
        }
        std::ranges::stable_sort(m_faults, {}, &PlannedFault::begin);
        return std::move(m_faults);
    }

private:
    void append(const DayEvent &event)
    {
        switch (event.action) {
        case DayAction::RestartBalancers:
            inSteps(FaultKind::BalancerRestarted, event, balancers());
            return;
        case DayAction::AddBalancers:
            together(FaultKind::BalancerAdded, event, numbers(m_day.spareBalancers.size()));
            return;
        case DayAction::MoveUpstreams:
            inSteps(FaultKind::UpstreamMoved, event, upstreamsOf(event));
            return;
        case DayAction::AddUpstreams:
            inSteps(FaultKind::UpstreamAdded, event, upstreamsOf(event));
            return;
        case DayAction::RemoveUpstreams:
            together(FaultKind::UpstreamRemoved, event, upstreamsOf(event));
            return;
        case DayAction::ReuseAddresses:
            together(FaultKind::AddressReused, event, upstreamsOf(event));
            return;
        case DayAction::ReloadSettings:
            once(FaultKind::SettingsReloaded, event);
            return;
        case DayAction::PublishConfiguration:
            repeated(FaultKind::ConfigurationPublished, event);
            return;
        case DayAction::ChangeRoutes:
            repeated(FaultKind::RouteChanged, event);
            return;
        case DayAction::KillBalancers:
            together(FaultKind::BalancerKilled, event, balancers());
            return;
        case DayAction::KillProcesses:
            once(FaultKind::ProcessesKilled, event);
            m_faults.back().killedShare = static_cast<unsigned>(std::lround(event.share * s_wholeShare));
            return;
        case DayAction::LosePower:
            once(FaultKind::PowerLost, event);
            return;
        case DayAction::CutBalancers:
            together(FaultKind::BalancerCut, event, balancers());
            return;
        case DayAction::CutBalancersFromStore:
            together(FaultKind::StoreCut, event, balancers());
            return;
        case DayAction::TurnMachinesAway:
            together(FaultKind::StoreCut, event, balancers());
            together(FaultKind::AgentStoreCut, event, numbers(m_day.upstreams.size()));
            return;
        case DayAction::StopStore:
            once(FaultKind::StoreDown, event);
            return;
        case DayAction::SlowStore:
            once(FaultKind::StoreSlow, event);
            return;
        case DayAction::LoseStoreAnswers:
            together(FaultKind::StoreAnswersLost, event, balancers());
            return;
        case DayAction::ForgetStoreHistory:
            once(FaultKind::HistoryLost, event);
            return;
        }
    }

    void add(FaultKind kind, unsigned target, std::chrono::milliseconds begin, const DayEvent &event)
    {
        m_faults.push_back({kind, target, begin, begin + event.duration});
    }

    void once(FaultKind kind, const DayEvent &event)
    {
        add(kind, 1, event.begin, event);
    }

    void repeated(FaultKind kind, const DayEvent &event)
    {
        for (unsigned number = 0; number < event.count.value_or(1); ++number) {
            const auto target = 1 + static_cast<unsigned>(m_random() % m_day.balancers.size());
            add(kind, target, event.begin + event.gap * number, event);
        }
    }

    void together(FaultKind kind, const DayEvent &event, const std::vector<unsigned> &machines)
    {
        for (const unsigned target : draw(event, machines)) {
            add(kind, target, event.begin, event);
        }
    }

    void inSteps(FaultKind kind, const DayEvent &event, const std::vector<unsigned> &machines)
    {
        unsigned drawn = 0;
        for (const unsigned target : draw(event, machines)) {
            add(kind, target, event.begin + event.gap * (drawn / event.atOnce), event);
            ++drawn;
        }
    }

    /** As many of @p machines as the event concerns, at least one. */
    std::vector<unsigned> draw(const DayEvent &event, std::vector<unsigned> machines)
    {
        std::ranges::shuffle(machines, m_random);
        const auto share = static_cast<std::size_t>(std::lround(event.share * static_cast<double>(machines.size())));
        const std::size_t count = event.count ? *event.count : std::max<std::size_t>(1, share);
        machines.resize(std::min(machines.size(), count));
        return machines;
    }

    static std::vector<unsigned> numbers(std::size_t count)
    {
        std::vector<unsigned> machines(count);
        std::iota(machines.begin(), machines.end(), 1U);
        return machines;
    }

    std::vector<unsigned> balancers() const
    {
        return numbers(m_day.balancers.size());
    }

    /** The upstreams of the pool that the event names, or of a drawn one. */
    std::vector<unsigned> upstreamsOf(const DayEvent &event)
    {
        const std::string pool =
            event.pool.empty() && !m_day.pools.empty() ? m_day.pools[m_random() % m_day.pools.size()].name : event.pool;
        std::vector<unsigned> machines = numbers(m_day.upstreams.size());
        std::erase_if(machines, [&](unsigned number) { return m_day.upstreams[number - 1].pool != pool; });
        return machines;
    }

    const SiteDay &m_day;
    std::mt19937_64 m_random;
    std::vector<PlannedFault> m_faults;
};

} // namespace

std::vector<PlannedFault> scheduleOf(const SiteDay &day, std::uint64_t seed)
{
    return Schedule(day, seed).take();
}

} // namespace samphireswitch::soak
