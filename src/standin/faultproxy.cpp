#include "standin/faultproxy.h"

namespace samphireswitch::standin {

FaultProxy::FaultProxy(boost::asio::io_context &context, const std::vector<Endpoint> &targets, std::uint64_t seed)
    : m_rules(seed)
    , m_udp(context, m_rules, targets)
    , m_tcp(context, m_rules, targets.front())
{
}

Result<void> FaultProxy::listen(const Endpoint &endpoint)
{
    if (auto result = m_udp.listen(endpoint); !result) {
        return result.error();
    }
    return m_tcp.listen(endpoint);
}

std::string FaultProxy::execute(const std::string &command)
{
    return m_rules.execute(command);
}

} // namespace samphireswitch::standin
