#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** One `key = value` line. */
struct IniEntry
{
    std::string key;
    std::string value;
    /** Line in the file, from 1. */
    int line = 0;
};

/** A `[section]` and its entries in the order of the file. */
struct IniSection
{
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;

    const IniEntry *find(std::string_view key) const;
};

/**
 * The content of an INI file. `;` and `#` begin a comment line. Lines that are neither section, entry, comment nor
 * empty, duplicate sections, duplicate keys, and keys before the first section are problems; reading goes on after
 * each, so that all of them are reported together.
 */
class IniDocument
{
public:
    /** @p fileName is used in the messages only. */
    IniDocument(std::string_view text, std::string fileName);

    const std::vector<IniSection> &sections() const;
    const IniSection *find(std::string_view name) const;

    /** Messages of the form `FILE:LINE: [SECTION] KEY: what is wrong`. */
    const std::vector<std::string> &problems() const;

    const std::string &fileName() const;

    /** The beginning of a message about @p section and, unless empty, @p key. A line of 0 is left out. */
    std::string position(int line, std::string_view section, std::string_view key) const;

private:
    /** Copies the lines that are well formed and unique to a text for the parser; reports the others. */
    std::string scan(std::string_view text);
    void scanLine(std::string_view line, int number, std::string &accepted);
    void scanSection(std::string_view line, int number, std::string &accepted);
    void scanEntry(std::string_view line, int number, std::string &accepted);
    void parseValues(const std::string &accepted);

    std::string m_fileName;
    std::vector<IniSection> m_sections;
    std::vector<std::string> m_problems;
    /** True while the lines of a duplicate or damaged section are skipped. */
    bool m_skipping = false;
};

/** Largest file that is read, in bytes. */
constexpr std::size_t s_maximumIniFileSize = std::size_t {4} * 1024 * 1024;

/** The content of the file, or nothing if it cannot be read or is larger than s_maximumIniFileSize. */
std::optional<std::string> readTextFile(const std::string &path);

/** @p lines joined with line feeds. */
std::string joinLines(const std::vector<std::string> &lines);

} // namespace samphireswitch::configuration
