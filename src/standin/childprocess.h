#pragma once

#include "base/resultcode.h"

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::standin {

/** A process that this process started. It is killed when the object or the starting process ends. */
class ChildProcess
{
public:
    /**
     * Starts @p program; its standard output and error go to @p outputFile. Fails with ResultCode::FileNotReadable if
     * the program or the file cannot be opened.
     */
    static Result<ChildProcess>
    start(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile);

    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ~ChildProcess();

    void signal(int number) const;

    /** Sends SIGKILL and waits for the end. */
    void kill();

    /**
     * Waits until the process has ended, at most for @p limit. Returns its exit status, or 128 and the number of the
     * signal that ended it, as a shell does; nothing if it still runs.
     */
    std::optional<int> wait(std::chrono::milliseconds limit);

    bool isRunning();

    /** Processor time that the process has used; nothing if it has ended. */
    std::optional<std::chrono::nanoseconds> processorTime() const;

    /** All that the process has written so far. */
    std::string output() const;

private:
    ChildProcess(pid_t pid, std::string outputFile);

    pid_t m_pid;
    std::string m_outputFile;
    std::optional<int> m_status;
};

} // namespace samphireswitch::standin
