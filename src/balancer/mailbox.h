#pragma once

#include <atomic>
#include <memory>

namespace samphireswitch::balancer {

/**
 * Hands values from one thread to another: a ring with one place, in which a new value replaces one that was not taken.
 * A longer ring would have to refuse the newest value when it is full, which is the one that counts.
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

    void put(std::unique_ptr<T> value)
    {
        const std::unique_ptr<T> replaced(m_value.exchange(value.release(), std::memory_order_acq_rel));
    }

    /** The newest value, or null if it was taken before. */
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
