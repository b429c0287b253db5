#include "base/memorylimits.h"
#include "standin/childprocess.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

namespace samphireswitch {

namespace {

using namespace std::chrono_literals;

/** An address of this host that no other process uses, so that the tests can run beside others. */
std::string ownAddress()
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(100 + ((pid >> 16U) & 0x3fU)) + '.' + std::to_string((pid >> 8U) & 0xffU) + '.'
        + std::to_string(pid & 0xffU);
}

std::string balancerSettings()
{
    const std::string ip = ownAddress();
    return "[process]\nname = b-1\nfailure_domain = Ghiffa\n[balancer]\ndata_address = " + ip
        + ":7001\ncontrol_address = " + ip + ":7002\nmetrics_address = " + ip + ":7003\nseeds = " + ip
        + ":9\n[store]\nendpoint = " + ip + ":9\n";
}

std::string passthroughAgentSettings()
{
    const std::string ip = ownAddress();
    return "[process]\nname = a-1\nfailure_domain = Ghiffa\n[agent]\ndelivery = passthrough\nhost = ghiffa-1\n"
           "service = tally\ndata_address = "
        + ip + ":7001\ncontrol_address = " + ip + ":7002\nmetrics_address = " + ip + ":7003\nupstream_address = " + ip
        + ":9\noutbound_address = " + ip + ":7005\nreport_address = " + ip + ":7006\nbalancers = " + ip
        + ":9\n[store]\nendpoint = " + ip + ":9\n";
}

/** A process whose settings file is a pipe, so that it waits during its start until the test writes the settings. */
class ProcessStartTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_path = testing::TempDir() + "processstarttest-" + std::to_string(getpid());
        ASSERT_EQ(::mkfifo(m_path.c_str(), S_IRUSR | S_IWUSR), 0);
    }

    void TearDown() override
    {
        std::remove(m_path.c_str());
        std::remove(outputPath().c_str());
    }

    std::string outputPath() const
    {
        return m_path + ".out";
    }

    /** Waits until the process reads the settings file; returns the end to write to, -1 if it does not. */
    int openWhenRead(standin::ChildProcess &process) const
    {
        int pipe = -1;
        while (pipe < 0 && process.isRunning()) {
            // Fails while no process has opened the other end.
            pipe = ::open(m_path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            std::this_thread::sleep_for(1ms);
        }
        return pipe;
    }

    /** A process that has ended must fail the test, not end it by SIGPIPE. */
    static void writeAll(int pipe, const std::string &text)
    {
        const auto handler = std::signal(SIGPIPE, SIG_IGN);
        EXPECT_EQ(::write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        std::signal(SIGPIPE, handler);
    }

    /** Starts the process @p role, which gets a reload and a stop signal before it has read @p settings. */
    void signalDuringStart(const std::string &role, const std::string &settings)
    {
        auto started = standin::ChildProcess::start(SAMPHIRESWITCH_PROGRAM, {role, m_path}, outputPath());
        ASSERT_TRUE(started);
        standin::ChildProcess &process = *started;
        const int pipe = openWhenRead(process);
        ASSERT_GE(pipe, 0) << process.output();
        process.signal(SIGHUP);
        process.signal(SIGTERM);
        // The process reads the file again later.
        std::ofstream(m_path + ".new") << settings;
        std::filesystem::rename(m_path + ".new", m_path);
        writeAll(pipe, settings);
        ::close(pipe);
        m_status = process.wait(tests::s_ampleTime);
        m_output = process.output();
    }

    std::string m_path;
    std::optional<int> m_status;
    std::string m_output;
};

/** A process under a limit of its address space. */
class AddressSpaceTest : public testing::Test
{
protected:
    void SetUp() override
    {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
        GTEST_SKIP() << "the shadow memory of a sanitizer takes more address space than any limit";
#endif
        m_path = testing::TempDir() + "addressspacetest-" + std::to_string(getpid());
    }

    void TearDown() override
    {
        std::remove(m_path.c_str());
        std::remove(outputPath().c_str());
    }

    std::string outputPath() const
    {
        return m_path + ".out";
    }

    /**
     * Starts the process @p role with @p settings, and stops it once it runs. Returns its exit status, and nothing if
     * it neither starts nor ends.
     */
    std::optional<int> run(const std::string &role, const std::string &settings, unsigned limitKilobytes)
    {
        std::ofstream(m_path) << settings;
        const std::string command = "ulimit -v " + std::to_string(limitKilobytes) + "; exec \"$0\" \"$@\"";
        auto started = standin::ChildProcess::start(
            "/bin/sh", {"-c", command, SAMPHIRESWITCH_PROGRAM, role, m_path}, outputPath());
        if (!started) {
            return std::nullopt;
        }
        const auto end = std::chrono::steady_clock::now() + tests::s_ampleTime;
        while (started->isRunning() && started->output().find("\"started\"") == std::string::npos
               && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(1ms);
        }
        started->signal(SIGTERM);
        const auto status = started->wait(tests::s_ampleTime);
        m_output = started->output();
        std::remove(outputPath().c_str());
        return status;
    }

    std::string m_path;
    std::string m_output;
};

// Half of the memory of the smallest machines that the users' pages name.
constexpr unsigned s_ampleKilobytes = 64 * 1024;
// A status of the shell or of the loader, which have no room for the program or its libraries.
constexpr int s_leastLoaderStatus = 126;
constexpr int s_mostLoaderStatus = 127;

} // namespace

// Guards against a balancer that a signal ends during its start, without a log line and with the status of a crash.
TEST_F(ProcessStartTest, BalancerHandlesSignalsOfItsStartOnceItRuns)
{
    signalDuringStart("balancer", balancerSettings());
    EXPECT_EQ(m_status, 0) << m_output;
    EXPECT_NE(m_output.find("reloaded"), std::string::npos) << m_output;
    EXPECT_NE(m_output.find("stopped"), std::string::npos) << m_output;
}

// As above for an agent.
TEST_F(ProcessStartTest, AgentHandlesSignalsOfItsStartOnceItRuns)
{
    signalDuringStart("agent", passthroughAgentSettings());
    EXPECT_EQ(m_status, 0) << m_output;
    EXPECT_NE(m_output.find("reloaded"), std::string::npos) << m_output;
    EXPECT_NE(m_output.find("stopped"), std::string::npos) << m_output;
}

// Guards against a signal that hides why the settings are rejected.
TEST_F(ProcessStartTest, RejectedSettingsAreReportedInSpiteOfSignals)
{
    signalDuringStart("agent", "[agent]\nslots = 3\n");
    EXPECT_EQ(m_status, 1) << m_output;
    EXPECT_NE(m_output.find("slots"), std::string::npos) << m_output;
}

// Guards against processes that end at some of their starts, because stacks and heaps of their threads exceed a limit
// of address space that their memory does not come near.
TEST_F(AddressSpaceTest, ProcessesStartWithLittleAddressSpace)
{
    EXPECT_EQ(run("agent", passthroughAgentSettings(), s_ampleKilobytes), 0) << m_output;
    EXPECT_EQ(run("balancer", balancerSettings(), s_ampleKilobytes), 0) << m_output;
}

// Guards against a process that aborts for want of a resource and does not say which one.
TEST_F(AddressSpaceTest, ShortageIsReportedWithAStatusOfItsOwn)
{
    unsigned shortages = 0;
    for (unsigned limit = 8 * 1024; limit < s_ampleKilobytes; limit += 1024) {
        const auto status = run("agent", passthroughAgentSettings(), limit);
        if (status == 0) {
            break;
        }
        if (status == s_leastLoaderStatus || status == s_mostLoaderStatus) {
            continue;
        }
        ++shortages;
        EXPECT_EQ(status, s_outOfResourcesStatus) << limit << " KB: " << m_output;
        EXPECT_NE(m_output.find("address space"), std::string::npos) << limit << " KB: " << m_output;
    }
    EXPECT_GT(shortages, 0U);
}

} // namespace samphireswitch
