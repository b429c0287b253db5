#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** A `key = value` line of an INI file. */
struct IniEntry
{
    std::string key;
    std::string value;
    /** Line number in the file, starting at 1. */
    int line = 0;
};

/** A `[section]` of an INI file with its entries, in the order of the file. */
struct IniSection
{
    std::string name;
    /** Line number of the section header, starting at 1. */
    int line = 0;
    std::vector<IniEntry> entries;

    /** Returns the entry with the given key, or nullptr if the section has no such entry. */
    const IniEntry *find(std::string_view key) const;
};

/**
 * The parsed content of an INI file. A line that begins with `;` or `#` is a comment.
 *
 * Malformed lines, duplicate sections, duplicate keys and keys before the first section are reported as problems.
 * Parsing continues after a problem, so that problems() lists all of them at once.
 */
class IniDocument
{
public:
    /** Parses @p text. @p fileName appears in the messages only; the file is not opened. */
    IniDocument(std::string_view text, std::string fileName);

    const std::vector<IniSection> &sections() const;
    /** Returns the section with the given name, or nullptr if the document has no such section. */
    const IniSection *find(std::string_view name) const;

    /** Returns the problems found, as messages of the form `FILE:LINE: [SECTION] KEY: PROBLEM`. */
    const std::vector<std::string> &problems() const;

    const std::string &fileName() const;

    /**
     * Returns the prefix `FILE:LINE: [SECTION] KEY: ` for a message. An empty @p section, an empty @p key and a @p line
     * of 0 are left out.
     */
    std::string position(int line, std::string_view section, std::string_view key) const;

private:
    /** Returns the well-formed, non-duplicate lines of @p text as input for parseValues(), and reports the others. */
    std::string scan(std::string_view text);
    void scanLine(std::string_view line, int number, std::string &accepted);
    void scanSection(std::string_view line, int number, std::string &accepted);
    void scanEntry(std::string_view line, int number, std::string &accepted);
    /** Parses @p accepted with Boost.PropertyTree and stores the value of each entry found by scan(). */
    void parseValues(const std::string &accepted);

    std::string m_fileName;
    std::vector<IniSection> m_sections;
    std::vector<std::string> m_problems;
    /** True while scan() skips the entries of a section with a duplicate or malformed header. */
    bool m_skipping = false;
};

/** Maximum size in bytes of a file that readTextFile() accepts. */
constexpr std::size_t s_maximumIniFileSize = std::size_t {4} * 1024 * 1024;

/** Returns the content of the file, or std::nullopt if it cannot be read or is larger than s_maximumIniFileSize. */
std::optional<std::string> readTextFile(const std::string &path);

/** Returns @p lines joined with line feeds, without a trailing line feed. */
std::string joinLines(const std::vector<std::string> &lines);

} // namespace samphireswitch::configuration
