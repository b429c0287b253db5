#include "standin/childprocess.h"

#include "base/time.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace samphireswitch::standin {

namespace {

constexpr std::chrono::milliseconds s_pollInterval {5};
constexpr int s_signalStatusBase = 128;
constexpr int s_notStartedStatus = 127;
constexpr mode_t s_outputMode = 0644;

[[noreturn]] void execute(std::vector<char *> &arguments, int output, pid_t parent)
{
    // The child must not outlive a starting process that is killed, as by the time limit of ctest.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(s_notStartedStatus);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // Sockets of the starting process, which may be closed and bound again while the child runs.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    ::execv(arguments.front(), arguments.data());
    ::_exit(s_notStartedStatus);
}

} // namespace

Result<ChildProcess> ChildProcess::start(const std::string &program,
                                         const std::vector<std::string> &arguments,
                                         const std::string &outputFile)
{
    const int output = ::open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, s_outputMode);
    if (output < 0 || ::access(program.c_str(), X_OK) != 0) {
        return boost::leaf::new_error(
            Error {ResultCode::FileNotReadable, "cannot start " + program + " with output to " + outputFile});
    }
    std::vector<std::string> texts {program};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        execute(pointers, output, parent);
    }
    ::close(output);
    if (pid < 0) {
        return boost::leaf::new_error(Error {ResultCode::FileNotReadable, "cannot fork to start " + program});
    }
    return ChildProcess(pid, outputFile);
}

ChildProcess::ChildProcess(pid_t pid, std::string outputFile)
    : m_pid(pid)
    , m_outputFile(std::move(outputFile))
{
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_outputFile(std::move(other.m_outputFile))
    , m_status(other.m_status)
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, -1);
        m_outputFile = std::move(other.m_outputFile);
        m_status = other.m_status;
    }
    return *this;
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0 && !m_status) {
        ::kill(m_pid, number);
    }
}

void ChildProcess::kill()
{
    if (m_pid <= 0 || m_status) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_status = s_signalStatusBase + SIGKILL;
}

std::optional<int> ChildProcess::wait(std::chrono::milliseconds limit)
{
    const TimePoint end = Clock::now() + limit;
    while (isRunning()) {
        if (Clock::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(s_pollInterval);
    }
    return m_status;
}

bool ChildProcess::isRunning()
{
    if (m_pid <= 0 || m_status) {
        return false;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return true;
    }
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : s_signalStatusBase + WTERMSIG(status);
    return false;
}

std::optional<std::chrono::nanoseconds> ChildProcess::processorTime() const
{
    clockid_t clock {};
    timespec time {};
    if (m_pid <= 0 || m_status || ::clock_getcpuclockid(m_pid, &clock) != 0 || ::clock_gettime(clock, &time) != 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::string ChildProcess::output() const
{
    const std::ifstream file(m_outputFile);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace samphireswitch::standin
