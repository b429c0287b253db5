#pragma once

#include "base/resultcode.h"

#include <pthread.h>

#include <functional>
#include <memory>
#include <string>

namespace samphireswitch {

/**
 * A thread with a stack of a fixed, small size: the usual size of 8 MiB for each thread would take most of a process's
 * limit of address space. The destructor waits for the end of the thread.
 */
class Thread
{
public:
    Thread() = default;
    ~Thread();

    Thread(const Thread &) = delete;
    Thread &operator=(const Thread &) = delete;

    /**
     * Starts the thread @p name, which runs @p body. Fails with ResultCode::OutOfResources if the system has no memory
     * for its stack, or allows no further thread.
     */
    Result<void> start(const std::string &name, std::function<void()> body);

    /** Waits for the end of the thread; does nothing if it does not run. */
    void join();

private:
    std::unique_ptr<std::function<void()>> m_body;
    pthread_t m_thread {};
};

} // namespace samphireswitch
