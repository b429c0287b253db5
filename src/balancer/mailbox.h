#pragma once

#include <atomic>
#include <memory>

namespace samphireswitch::balancer {

/**
 * Passes the newest value from one thread to another without a lock. The mailbox holds at most one value, and put()
 * replaces a value that was not taken. A queue of bounded length would reject the newest value when it is full,
 * although only the newest value matters to the reader.
 */
template<typename T>
class Mailbox
{
public:
    Mailbox() = default;

    ~Mailbox()
    {
        take();
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /** Stores @p value and frees a value that was not taken, in the calling thread. */
    void put(std::unique_ptr<T> value)
    {
        const std::unique_ptr<T> replaced(m_value.exchange(value.release(), std::memory_order_acq_rel));
    }

    /** Removes and returns the stored value; null if none was stored since the last call. */
    std::unique_ptr<T> take()
    {
        if (m_value.load(std::memory_order_relaxed) == nullptr) {
            return nullptr;
        }
        return std::unique_ptr<T>(m_value.exchange(nullptr, std::memory_order_acq_rel));
    }

private:
    std::atomic<T *> m_value {nullptr};
};

} // namespace samphireswitch::balancer
