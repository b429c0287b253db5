#include "base/attempt.h"
#include "soak/soak.h"

#include <boost/json/serialize.hpp>

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>
#include <sstream>

DEFINE_uint64(seed, 1, "Seed of the faults and of the load.");
DEFINE_uint32(faults, 12, "Number of faults.");
DEFINE_bool(planned_only, false, "Draw only planned faults, which open flows have to survive.");
DEFINE_uint32(agent_restarts, 0, "Number of planned restarts of agents besides the faults.");
DEFINE_uint32(balancer_restarts, 0, "Number of planned restarts of balancers besides the faults.");
DEFINE_uint32(rolling_restarts, 0, "How often all machines are restarted in turn besides the faults.");
DEFINE_uint32(rolling_gap_ms, 700, "Time from one restart of such a series to the next.");
DEFINE_uint32(restart_delay_ms, 300, "Time from the end of a process that was stopped as planned to its next start.");
DEFINE_double(standstills_per_second, 0, "Short standstills of processes, which are no disturbance in the rules.");
DEFINE_uint32(longest_standstill_ms, 100, "Longest of these standstills.");
DEFINE_double(end_standstills_per_second, 0, "The same for the programs of upstreams and callers.");
DEFINE_uint32(longest_end_standstill_ms, 100, "Longest of these.");
DEFINE_uint32(longest_return_ms, 0, "Longest time after which an upstream gives a packet back that it cannot take.");
DEFINE_uint32(killed_share, 100, "Share of the processes that are killed together, in hundredths.");
DEFINE_uint32(added_upstreams, 0, "Number of machines with an agent and an upstream that are added.");
DEFINE_uint32(removed_upstreams, 0, "Number of such machines that are taken away for good.");
DEFINE_uint32(moved_upstreams, 0, "Number of such machines that are taken away after another one was added.");
DEFINE_uint32(reused_addresses, 0, "Number of such machines whose address goes to one of the other pool.");
DEFINE_uint32(added_balancers, 0, "Number of balancers that are added.");
DEFINE_uint32(removed_balancers, 0, "Number of balancers that are taken away for good.");
DEFINE_uint32(ended_agents, 0, "Number of agents that end by themselves, which is no disturbance in the rules.");
DEFINE_uint32(ended_balancers, 0, "The same for balancers.");
DEFINE_uint32(evacuations, 0, "Number of evacuations of a failure domain, each of some seconds.");
DEFINE_uint32(returned_domains, 0, "How often all upstreams of a failure domain end and come back at once.");
DEFINE_uint32(store_cuts, 0, "How often the store turns a balancer away while it serves the others.");
DEFINE_uint32(agent_store_cuts, 0, "The same for agents.");
DEFINE_uint32(late_agents, 0, "Number of agents that come back later than the others after a death of processes.");
DEFINE_uint32(late_by_ms, 7000, "How much later they come back.");
DEFINE_uint32(idle_close_ms, 0, "Upstreams close flows that are idle for longer; 0: never.");
DEFINE_string(site, "", "Site file; the day named by --day is played in place of drawn faults, machines and load.");
DEFINE_string(day, "", "Name of the day of --site.");
DEFINE_bool(site_processor_shares, true, "Processes get the processor shares of the site, unless flags give others.");
DEFINE_double(cold_requests_per_second, 0, "New flows that a cold upstream bears; 0: no limit.");
DEFINE_uint32(slow_start_ms, 4000, "How long upstreams that start during the load stay cold.");
DEFINE_bool(unequal_upstreams, false, "Upstreams of a pool work at different speeds.");
DEFINE_double(orders_per_second, 30, "Orders, each on a flow of its own.");
DEFINE_uint32(fault_period_ms, 18000, "Faults begin within this time.");
DEFINE_uint32(route_changes, 0, "Number of changes of routes in quick succession.");
DEFINE_uint32(route_change_gap_ms, 200, "Time from one of these changes to the next.");
DEFINE_uint32(failure_domains, 2, "Number of failure domains, over which machines are spread evenly.");
DEFINE_bool(zoned_routers, false, "Routers send packets to balancers of the caller's failure domain.");
DEFINE_uint32(caller_addresses, 1, "Number of callers' addresses, at most 7.");
DEFINE_uint32(caller_ports, 50000, "Number of ports at each address, which callers use in turn.");
DEFINE_uint32(caller_pause_ms, 250, "Time between two requests of a flow that is kept open.");
DEFINE_uint32(caller_distance_ms, 0, "Time that a packet of a caller takes to a balancer.");
DEFINE_double(uploads_per_second, 6, "Uploads, each on a flow of its own.");
DEFINE_uint32(feed_budget_ms, 4000, "How long callers wait for the answer of a request on a feed.");
DEFINE_uint32(order_budget_ms, 4000, "The same for an order.");
DEFINE_uint32(upload_budget_ms, 4000, "The same for an upload.");
DEFINE_uint32(kept_flows, 20, "Number of flows that are kept open for one request after the other.");
DEFINE_uint32(idle_timeout_ms, 60000, "Idle timeout of flows in the configuration.");
DEFINE_uint32(upstream_start_delay_ms, 0, "Time from the start of an agent to that of its upstream.");
DEFINE_uint32(process_kills, 0, "How often all balancers and agents are killed besides the faults.");
DEFINE_uint32(idle_flows, 0, "Number of flows that stay idle for some seconds between two requests.");
DEFINE_bool(upstream_probes, true, "Upstreams listen for health probes (TCP); otherwise they refuse connections.");
DEFINE_uint64(first_sequence, 1, "Sequence of the first report of each run of an upstream.");
DEFINE_uint32(fault_delay_ms, 0, "Faults begin so much later.");
DEFINE_uint32(longest_agent_life_ms, 0, "Agents end within this time from the start of their upstream; 0: never.");
DEFINE_double(other_writer_share, 0, "Share of the reports of upstreams after which another writer calls their agent.");
DEFINE_uint32(longest_clock_step_ms, 0, "Starts that upstreams tell are off by up to so much, either way.");
DEFINE_uint32(report_interval_ms, 1000, "Time between two reports of an upstream.");
DEFINE_bool(keep_first_settings, false, "Restarted processes find the settings of their first start.");
DEFINE_double(balancer_processor_share, 0, "Share of a core of each balancer, as an allotment of each 100 ms; 0: all.");
DEFINE_double(agent_processor_share, 0, "The same for agents.");
DEFINE_double(balancer_link_mbps, 0, "Rate of the link that each balancer divides, in its settings; 0: unknown.");
DEFINE_uint32(balancers, 3, "Number of balancers.");
DEFINE_uint32(upstreams, 6, "Number of upstreams, each with an agent; a third of them serve the second pool.");
DEFINE_string(directory, "", "Folder for settings and logs, which is created.");
DEFINE_string(only, "", "Play only the faults with these positions in the plan, from 0, separated by commas.");
DEFINE_string(program, SAMPHIRESWITCH_PROGRAM, "Program under test.");
DEFINE_string(templates, SAMPHIRESWITCH_SOURCE_DIR "/deploy", "Folder of the settings templates.");

namespace samphireswitch::soak {

namespace {

constexpr int s_violatedStatus = 1;
constexpr int s_notStartedStatus = 2;

SoakOptions optionsFromFlags()
{
    SoakOptions options;
    options.processes = {.program = FLAGS_program,
                         .templates = FLAGS_templates,
                         .directory = FLAGS_directory,
                         .balancers = FLAGS_balancers,
                         .upstreams = FLAGS_upstreams,
                         .failureDomains = FLAGS_failure_domains,
                         .seed = FLAGS_seed,
                         .keepsFirstSettings = FLAGS_keep_first_settings,
                         .balancerProcessorShare = FLAGS_balancer_processor_share,
                         .agentProcessorShare = FLAGS_agent_processor_share,
                         .balancerLinkRate = FLAGS_balancer_link_mbps};
    options.upstreamsAcceptProbes = FLAGS_upstream_probes;
    options.firstReportSequence = FLAGS_first_sequence;
    options.faultDelay = std::chrono::milliseconds(FLAGS_fault_delay_ms);
    options.longestAgentLife = std::chrono::milliseconds(FLAGS_longest_agent_life_ms);
    options.otherWriterShare = FLAGS_other_writer_share;
    options.longestClockStep = std::chrono::milliseconds(FLAGS_longest_clock_step_ms);
    options.reportInterval = std::chrono::milliseconds(FLAGS_report_interval_ms);
    options.restartDelay = std::chrono::milliseconds(FLAGS_restart_delay_ms);
    options.callers = {.addresses = FLAGS_caller_addresses, .ports = FLAGS_caller_ports};
    options.callerDistance = std::chrono::milliseconds(FLAGS_caller_distance_ms);
    options.load = {.keptFlows = FLAGS_kept_flows,
                    .callerPause = std::chrono::milliseconds(FLAGS_caller_pause_ms),
                    .idleFlows = FLAGS_idle_flows,
                    .ordersPerSecond = FLAGS_orders_per_second,
                    .uploadsPerSecond = FLAGS_uploads_per_second,
                    .feedBudget = std::chrono::milliseconds(FLAGS_feed_budget_ms),
                    .orderBudget = std::chrono::milliseconds(FLAGS_order_budget_ms),
                    .uploadBudget = std::chrono::milliseconds(FLAGS_upload_budget_ms)};
    options.standstillsPerSecond = FLAGS_standstills_per_second;
    options.longestStandstill = std::chrono::milliseconds(FLAGS_longest_standstill_ms);
    options.endStandstillsPerSecond = FLAGS_end_standstills_per_second;
    options.longestEndStandstill = std::chrono::milliseconds(FLAGS_longest_end_standstill_ms);
    options.longestReturn = std::chrono::milliseconds(FLAGS_longest_return_ms);
    options.killedShare = FLAGS_killed_share;
    options.idleClose = std::chrono::milliseconds(FLAGS_idle_close_ms);
    options.lateAgents = FLAGS_late_agents;
    options.lateBy = std::chrono::milliseconds(FLAGS_late_by_ms);
    options.hasZonedRouters = FLAGS_zoned_routers;
    options.idleTimeout = std::chrono::milliseconds(FLAGS_idle_timeout_ms);
    options.upstreamStartDelay = std::chrono::milliseconds(FLAGS_upstream_start_delay_ms);
    options.faults.seed = FLAGS_seed;
    options.faults.faults = FLAGS_faults;
    options.faults.plannedOnly = FLAGS_planned_only;
    options.faults.agentRestarts = FLAGS_agent_restarts;
    options.faults.balancerRestarts = FLAGS_balancer_restarts;
    options.faults.rollingRestarts = FLAGS_rolling_restarts;
    options.faults.rollingGap = std::chrono::milliseconds(FLAGS_rolling_gap_ms);
    options.faults.processKills = FLAGS_process_kills;
    options.faults.addedUpstreams = FLAGS_added_upstreams;
    options.faults.removedUpstreams = FLAGS_removed_upstreams;
    options.faults.movedUpstreams = FLAGS_moved_upstreams;
    options.faults.reusedAddresses = FLAGS_reused_addresses;
    options.faults.addedBalancers = FLAGS_added_balancers;
    options.faults.removedBalancers = FLAGS_removed_balancers;
    options.faults.endedAgents = FLAGS_ended_agents;
    options.faults.endedBalancers = FLAGS_ended_balancers;
    options.faults.routeChanges = FLAGS_route_changes;
    options.faults.routeChangeGap = std::chrono::milliseconds(FLAGS_route_change_gap_ms);
    options.faults.evacuations = FLAGS_evacuations;
    options.faults.returnedDomains = FLAGS_returned_domains;
    options.faults.storeCuts = FLAGS_store_cuts;
    options.faults.agentStoreCuts = FLAGS_agent_store_cuts;
    options.faults.failureDomains = FLAGS_failure_domains;
    options.faults.period = std::chrono::milliseconds(FLAGS_fault_period_ms);
    options.coldRequestsPerSecond = FLAGS_cold_requests_per_second;
    options.slowStart = std::chrono::milliseconds(FLAGS_slow_start_ms);
    options.hasUnequalUpstreams = FLAGS_unequal_upstreams;
    options.faults.balancers = FLAGS_balancers;
    options.faults.upstreams = FLAGS_upstreams;
    std::istringstream only(FLAGS_only);
    for (std::string position; std::getline(only, position, ',');) {
        options.onlyFaults.insert(std::stoul(position));
    }
    return options;
}

/** The options of the flags, and of the day of a site if one is to be played. */
Result<SoakOptions> readOptions()
{
    SoakOptions options = optionsFromFlags();
    if (FLAGS_site.empty()) {
        return options;
    }
    BOOST_LEAF_AUTO(day, platform::readSiteDay(FLAGS_site, FLAGS_day));
    for (const std::string &entry : day.unknownEntries) {
        std::cout << "not played: " << entry << std::endl;
    }
    if (FLAGS_site_processor_shares) {
        double &balancer = options.processes.balancerProcessorShare;
        double &agent = options.processes.agentProcessorShare;
        balancer = balancer > 0 ? balancer : day.balancerProcessorShare;
        agent = agent > 0 ? agent : day.agentProcessorShare;
    }
    applyDay(std::move(day), options);
    return options;
}

int run()
{
    if (FLAGS_directory.empty() || FLAGS_balancers == 0 || FLAGS_upstreams == 0 || FLAGS_failure_domains == 0
        || FLAGS_fault_period_ms == 0) {
        std::cerr << "--directory is missing, or there is no balancer, upstream, failure domain or time for faults"
                  << std::endl;
        return s_notStartedStatus;
    }
    if (FLAGS_caller_addresses == 0 || FLAGS_caller_addresses > s_mostCallerAddresses || FLAGS_caller_ports == 0
        || FLAGS_caller_ports > s_mostCallerPorts) {
        std::cerr << "--caller_addresses is not in 1 to " << s_mostCallerAddresses << ", or --caller_ports not in 1 to "
                  << s_mostCallerPorts << std::endl;
        return s_notStartedStatus;
    }
    if (FLAGS_standstills_per_second > 0 && FLAGS_faults > 0 && !FLAGS_planned_only) {
        std::cerr << "--standstills_per_second would end the faults that freeze processes" << std::endl;
        return s_notStartedStatus;
    }
    std::filesystem::create_directories(FLAGS_directory);
    const auto options = attempt([] { return readOptions(); });
    if (const Error *error = std::get_if<Error>(&options)) {
        std::cerr << error->message << std::endl;
        return s_notStartedStatus;
    }
    Soak soak(std::get<SoakOptions>(options));
    const auto outcome = attempt([&soak] { return soak.run(); });
    if (const Error *error = std::get_if<Error>(&outcome)) {
        std::cerr << error->message << std::endl;
        return s_notStartedStatus;
    }
    std::cout << boost::json::serialize(soak.report()) << std::endl;
    return soak.hasViolations() ? s_violatedStatus : 0;
}

} // namespace

} // namespace samphireswitch::soak

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Runs balancers and agents under faults and checks what callers and upstreams see.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return samphireswitch::soak::run();
}
