#pragma once

#include <memory>
#include <mutex>

namespace samphireswitch {

/** Holds the newest immutable value that one thread offers to all others. */
template<typename T>
class Published
{
public:
    Published()
        : m_value(std::make_shared<const T>())
    {
    }

    void publish(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(m_mutex);
        m_value = std::move(value);
    }

    /** Never null. */
    std::shared_ptr<const T> current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
};

} // namespace samphireswitch
