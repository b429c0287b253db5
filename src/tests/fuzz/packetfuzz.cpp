// Guards against crashes, over-reads and wrong services for any packet from the fabric.

#include "routing/flowrouter.h"

#include <cstdlib>

namespace {

using namespace samphireswitch;

constexpr std::uint64_t s_tallyAgent = 11;
constexpr std::uint64_t s_leafAgent = 22;

routing::FlowRouter makeRouter()
{
    routing::FlowRouter router({0x7f000001, 7000}, routing::HintTable(64, {1, 2}));
    const std::vector<routing::RoutedService> services {
        {ServiceId {1}, 0x0a140001, 8001, 8002, {{AgentId {s_tallyAgent}, {0x7f000001, 7101}}}, {}, "tally"},
        {ServiceId {2}, 0x0a140002, 8001, 0, {}, {{AgentId {s_leafAgent}, {0x7f000001, 7102}}}, "leaf"}};
    router.replace(std::make_shared<const routing::RoutingTable>(1, services));
    return router;
}

} // namespace

// libFuzzer defines the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static routing::FlowRouter router = makeRouter();
    const auto packet = flow::PacketView::parse(std::as_bytes(std::span(data, size)));
    if (!packet) {
        return 0;
    }
    if (packet->payloadSize() > size) {
        std::abort();
    }
    router.learn({packet->key(), {AgentId {packet->isFin() ? s_tallyAgent : s_leafAgent}, {}}, 1}, TimePoint());
    const routing::RouteDecision decision = router.route(*packet, TimePoint());
    if (const auto *forward = std::get_if<routing::Forward>(&decision)) {
        const bool tally = packet->key().destination.address == 0x0a140001;
        if (forward->header.chain.front().agent.value != (tally ? s_tallyAgent : s_leafAgent)) {
            std::abort();
        }
    }
    return 0;
}
