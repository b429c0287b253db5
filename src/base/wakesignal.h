#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace samphireswitch {

/** Ends the wait of one thread when another one has something for it. A signal before the wait is not lost. */
class WakeSignal
{
public:
    void notify()
    {
        const std::lock_guard lock(m_mutex);
        m_isSet = true;
        m_condition.notify_all();
    }

    /** Returns after notify() or @p limit. */
    void waitFor(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(lock, limit, [this] { return m_isSet; });
        m_isSet = false;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isSet = false;
};

} // namespace samphireswitch
