#include "base/thread.h"

#include <system_error>
#include <utility>

namespace samphireswitch {

namespace {

// Messages are decoded and encoded in buffers on the stack, and sanitizers enlarge the frames.
constexpr std::size_t s_stackBytes = std::size_t {1} << 20U;

void *runBody(void *argument)
{
    (*static_cast<std::function<void()> *>(argument))();
    return nullptr;
}

int createThread(pthread_t &thread, std::function<void()> &body)
{
    pthread_attr_t attributes;
    if (const int error = pthread_attr_init(&attributes); error != 0) {
        return error;
    }
    int error = pthread_attr_setstacksize(&attributes, s_stackBytes);
    if (error == 0) {
        error = pthread_create(&thread, &attributes, runBody, &body);
    }
    pthread_attr_destroy(&attributes);
    return error;
}

} // namespace

Thread::~Thread()
{
    join();
}

Result<void> Thread::start(const std::string &name, std::function<void()> body)
{
    join();
    m_body = std::make_unique<std::function<void()>>(std::move(body));
    const int error = createThread(m_thread, *m_body);
    if (error == 0) {
        return {};
    }
    m_body.reset();
    return boost::leaf::new_error(
        Error {ResultCode::OutOfResources,
               "cannot start the thread '" + name + "': " + std::generic_category().message(error)
                   + "; the limits of address space, memory and threads of this process are too low"});
}

void Thread::join()
{
    if (m_body == nullptr) {
        return;
    }
    pthread_join(m_thread, nullptr);
    m_body.reset();
}

} // namespace samphireswitch
