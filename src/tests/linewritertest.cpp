#include "telemetry/linewriter.h"

#include <gtest/gtest.h>

#include <future>
#include <sstream>
#include <streambuf>

namespace samphireswitch::telemetry {

namespace {

/** A stream whose reader does not read until it is told to. */
class BlockedBuffer : public std::streambuf
{
public:
    void release()
    {
        m_released.set_value();
    }

protected:
    int_type overflow(int_type character) override
    {
        m_wait.wait();
        return character;
    }

private:
    std::promise<void> m_released;
    std::shared_future<void> m_wait {m_released.get_future()};
};

} // namespace

// Guards against a process that waits for whoever reads its log.
TEST(LineWriterTest, BlockedReaderCostsLinesAndNoTime)
{
    BlockedBuffer buffer;
    std::ostream stream(&buffer);
    LineWriter writer(stream, 10);
    for (int line = 0; line < 1000; ++line) {
        writer.push("line");
    }
    EXPECT_GE(writer.dropped(), 900U);
    buffer.release();
}

// Guards against the loss of the last lines of a process that ends.
TEST(LineWriterTest, QueuedLinesAreWrittenAtTheEnd)
{
    std::ostringstream stream;
    {
        LineWriter writer(stream, 10);
        writer.push("first");
        writer.push("last");
    }
    EXPECT_EQ(stream.str(), "first\nlast\n");
}

} // namespace samphireswitch::telemetry
