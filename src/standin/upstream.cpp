#include "standin/upstream.h"

#include "standin/sockets.h"
#include "standin/upstreamfeed.h"
#include "standin/upstreamrequest.h"

#include <algorithm>
#include <memory>

namespace samphireswitch::standin {

using boost::asio::ip::tcp;

Upstream::Upstream(boost::asio::io_context &context, UpstreamSettings settings, Journal journal)
    : m_requestAcceptor(context)
    , m_feedAcceptor(context)
    , m_settings(std::move(settings))
    , m_journal(std::move(journal))
    , m_started(Clock::now())
{
}

Result<void> Upstream::start()
{
    m_journal.append({{"kind", "upstream"}, {"host", m_settings.host}, {"slots", m_settings.slots}});
    if (!m_settings.closedPort) {
        if (auto result = listenOn(m_requestAcceptor, {m_settings.address, m_settings.requestPort}); !result) {
            return result.error();
        }
        acceptRequests();
    }
    if (m_settings.feedPort != 0) {
        if (auto result = listenOn(m_feedAcceptor, {m_settings.address, m_settings.feedPort}); !result) {
            return result.error();
        }
        acceptFeeds();
    }
    return {};
}

const UpstreamSettings &Upstream::settings() const
{
    return m_settings;
}

std::chrono::microseconds Upstream::effectiveWork(std::chrono::microseconds work) const
{
    const auto age = Clock::now() - m_started;
    if (age >= m_settings.coldStart) {
        return work;
    }
    const double remaining = 1 - std::chrono::duration<double>(age) / m_settings.coldStart;
    const double factor = 1 + (m_settings.coldStartFactor - 1) * remaining;
    return std::chrono::duration_cast<std::chrono::microseconds>(work * factor);
}

bool Upstream::tryBegin(const std::string &id)
{
    if (m_settings.failFast || m_busySlots >= m_settings.slots) {
        m_journal.append({{"kind", "shed"}, {"host", m_settings.host}, {"id", id}});
        return false;
    }
    ++m_busySlots;
    m_highestBusySlots = std::max(m_highestBusySlots, m_busySlots);
    m_journal.append({{"kind", "begin"}, {"host", m_settings.host}, {"id", id}, {"busy", m_busySlots}});
    return true;
}

void Upstream::end(const std::string &id)
{
    --m_busySlots;
    m_journal.append({{"kind", "end"}, {"host", m_settings.host}, {"id", id}});
}

void Upstream::reportUpload(const std::string &id, const char *kind)
{
    m_journal.append({{"kind", kind}, {"host", m_settings.host}, {"id", id}});
}

void Upstream::beginFeed(const std::string &id)
{
    m_journal.append({{"kind", "feed_begin"}, {"host", m_settings.host}, {"id", id}});
}

void Upstream::endFeed(const std::string &id)
{
    m_journal.append({{"kind", "feed_end"}, {"host", m_settings.host}, {"id", id}});
}

void Upstream::finish()
{
    m_journal.append({{"kind", "finished"}, {"host", m_settings.host}, {"highest_busy", m_highestBusySlots}});
}

void Upstream::acceptRequests()
{
    m_requestAcceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<UpstreamRequest>(*this, std::move(socket))->start();
        }
        acceptRequests();
    });
}

void Upstream::acceptFeeds()
{
    m_feedAcceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<UpstreamFeed>(*this, std::move(socket))->start();
        }
        acceptFeeds();
    });
}

} // namespace samphireswitch::standin
