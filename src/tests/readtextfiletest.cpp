#include "configuration/inidocument.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

namespace samphireswitch::configuration {

namespace {

/** A file with the given content, removed at the end of the test. */
class TextFile
{
public:
    explicit TextFile(const std::string &content)
        : m_path(std::filesystem::path(testing::TempDir()) / "samphireswitch-readtextfile.ini")
    {
        std::ofstream(m_path, std::ios::binary) << content;
    }

    ~TextFile()
    {
        std::filesystem::remove(m_path);
    }

    TextFile(const TextFile &) = delete;
    TextFile &operator=(const TextFile &) = delete;

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

} // namespace

// Guards against a buffer of the maximum file size: each process reads its settings file once a second, and a buffer of
// 4 MB made up half of an agent's memory.
TEST(ReadTextFileTest, MemoryFollowsTheSizeOfTheFile)
{
    const TextFile file("[process]\nname = a\n");
    const auto content = readTextFile(file.path());
    ASSERT_TRUE(content);
    EXPECT_EQ(*content, "[process]\nname = a\n");
    EXPECT_LT(content->capacity(), std::size_t {16} * 1024);
}

// Guards against content that is lost or repeated where one read ends and the next begins.
TEST(ReadTextFileTest, ReadsFilesOfAnyPermittedSize)
{
    for (const std::size_t size : {std::size_t {0},
                                   std::size_t {1},
                                   std::size_t {4095},
                                   std::size_t {4096},
                                   std::size_t {4097},
                                   std::size_t {100'000},
                                   s_maximumIniFileSize}) {
        std::string written;
        for (std::size_t index = 0; index < size; ++index) {
            written += static_cast<char>('a' + index % 23);
        }
        const TextFile file(written);
        EXPECT_EQ(readTextFile(file.path()), written) << size;
    }
}

TEST(ReadTextFileTest, RejectsLargerFilesDirectoriesAndMissingFiles)
{
    const TextFile file(std::string(s_maximumIniFileSize + 1, 'x'));
    EXPECT_EQ(readTextFile(file.path()), std::nullopt);
    EXPECT_EQ(readTextFile(testing::TempDir()), std::nullopt);
    EXPECT_EQ(readTextFile(file.path() + ".missing"), std::nullopt);
}

} // namespace samphireswitch::configuration
